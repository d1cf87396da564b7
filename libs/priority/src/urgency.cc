#include "priority/urgency.h"

#include <algorithm>
#include <chrono>

namespace ridgehold {

std::string_view ToString(Urgency urgency) {
  return urgency == Urgency::kUrgent ? "urgent" : "patient";
}

bool OrdersRequests(const PriorityOptions& options, Duration shortest, Duration longest) {
  if (!options.enabled || options.min_objective_ratio <= 0) return false;
  if (shortest <= Duration::zero()) return false;
  return static_cast<double>(longest.count()) >=
         options.min_objective_ratio * static_cast<double>(shortest.count());
}

Urgency UrgencyOf(Duration objective, Duration shortest, Duration longest) {
  const auto own = static_cast<double>(objective.count());
  const double mean_squared =
      static_cast<double>(shortest.count()) * static_cast<double>(longest.count());
  return own * own < mean_squared ? Urgency::kUrgent : Urgency::kPatient;
}

Duration MaxWait(Duration objective, Duration pause_objective, Duration time_limit) {
  constexpr Duration kMinPatience = std::chrono::seconds(2);
  constexpr int kObjectives = 4;
  constexpr int kPauseObjectives = 8;
  const Duration patience =
      std::max({kMinPatience, kObjectives * objective, kPauseObjectives * pause_objective});
  return std::max(Duration::zero(), std::min(patience, time_limit) - objective);
}

}  // namespace ridgehold
