#include "resumption/origin_keepers.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <functional>

namespace ridgehold {

std::vector<std::string> RankKeepers(AttemptHash attempt, std::vector<std::string> gateways,
                                     std::size_t count) {
  const auto rank = [&](const std::string& gateway) {
    return XXH3_64bits_withSeed(gateway.data(), gateway.size(), attempt.value());
  };
  const auto kept = static_cast<std::ptrdiff_t>(std::min(count, gateways.size()));
  std::ranges::partial_sort(gateways, gateways.begin() + kept, std::greater(), rank);
  gateways.resize(static_cast<std::size_t>(kept));
  return gateways;
}

}  // namespace ridgehold
