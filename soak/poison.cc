#include "poison.h"

#include <algorithm>

#include "bounds.h"

namespace ridgehold::soak {

std::optional<PoisonRequest> Poison::Pick() {
  if (content_ && random_.Chance(kPart)) return PoisonRequest{*content_, ""};
  if (!part_ || !part_random_.Chance(kPart)) return std::nullopt;
  return PoisonRequest{"poison-with-part-" + std::to_string(++sent_with_part_), *part_};
}

void Poison::Began(const std::string& body, const std::string& workspace,
                   const std::string& parts) {
  const TimePoint now = Clock::now();
  const std::size_t at = parts.find(kPartPrefix);
  const bool has_part = at != std::string::npos;
  const std::string name = has_part ? parts.substr(at, parts.find(':', at) - at) : body;
  const int decisive = has_part ? kDecisiveOfPart : kDecisive;
  Record& record = records_[{name, has_part ? "" : workspace}];
  ++ends_;
  if (++record.ends == decisive) record.decisive_end = now;
  most_ends_ = std::max(most_ends_, record.ends);
  if (record.ends > decisive && now > record.decisive_end + kContact) ++record.late;
  if (record.late > kMostLate) {
    verdict_.Fail("poison request is sent on", name, std::to_string(record.late) + " times more");
  }
  if (record.ends > (has_part ? kMostEndsOfPart : kMostEnds)) {
    verdict_.Fail("poison request ends many engines", name, std::to_string(record.ends));
  }
}

}  // namespace ridgehold::soak
