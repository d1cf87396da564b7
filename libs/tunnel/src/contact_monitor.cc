#include "tunnel/contact_monitor.h"

#include <algorithm>
#include <utility>

namespace ridgehold {

bool ContactMonitor::RecordContact(TimePoint now) {
  last_contact_ = now;
  lost_.clear();
  return std::exchange(reported_, false);
}

bool ContactMonitor::RecordLoss(const BackendId& backend, std::size_t known, TimePoint now) {
  known_ = known;
  std::erase_if(lost_, [&](const auto& entry) { return now - entry.second >= options_.memory; });
  lost_[backend] = now;
  const bool isolated = IsIsolated(now);
  return isolated && !std::exchange(reported_, true);
}

bool ContactMonitor::ShouldVerify(TimePoint now) const {
  return !lost_.empty() && now - last_contact_ >= options_.verify_after;
}

bool ContactMonitor::IsIsolated(TimePoint now) const {
  if (now - last_contact_ < options_.min_silence) return false;
  const auto recent = std::ranges::count_if(
      lost_, [&](const auto& entry) { return now - entry.second < options_.memory; });
  constexpr std::size_t kMinLost = 2;
  const std::size_t required = std::max(kMinLost, std::min(options_.min_lost, known_));
  return static_cast<std::size_t>(recent) >= required;
}

}  // namespace ridgehold
