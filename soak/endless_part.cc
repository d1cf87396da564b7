#include "endless_part.h"

namespace ridgehold::soak {

EndlessPart EndlessPart::Draw(Random& random) {
  constexpr std::size_t kBlockBytes = std::size_t{64} << 10;
  std::string lines;
  while (lines.size() < kBlockBytes) lines += "X-A: b\r\n";
  switch (random.Between(0, 3)) {
    case 0:
      return {"", std::string(kBlockBytes, '0')};
    case 1:
      return {"1;", std::string(kBlockBytes, 'x')};
    case 2:
      return {"0\r\nX-A: ", std::string(kBlockBytes, 'x')};
    default:
      return {"0\r\n", std::move(lines)};
  }
}

}  // namespace ridgehold::soak
