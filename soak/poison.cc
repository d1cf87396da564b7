#include "poison.h"

#include <algorithm>

#include "bounds.h"

namespace ridgehold::soak {

std::optional<std::string> Poison::Pick() {
  if (!content_ || !random_.Chance(kPart)) return std::nullopt;
  return content_;
}

void Poison::Began(const std::string& body, const std::string& workspace) {
  const TimePoint now = Clock::now();
  Record& record = records_[{body, workspace}];
  ++ends_;
  if (++record.ends == kDecisive) record.third = now;
  most_ends_ = std::max(most_ends_, record.ends);
  if (record.ends > kDecisive && now > record.third + kContact) ++record.late;
  if (record.late > kMostLate) {
    verdict_.Fail("poison request is sent on", body, std::to_string(record.late) + " times more");
  }
  if (record.ends > kMostEnds) {
    verdict_.Fail("poison request ends many engines", body, std::to_string(record.ends));
  }
}

}  // namespace ridgehold::soak
