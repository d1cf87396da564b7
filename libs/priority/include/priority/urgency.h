// Divides the requests to one service into urgent and patient ones, and bounds their waits.

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/ids.h"

namespace ridgehold {

/// Settings of priority ordering.
struct PriorityOptions {
  /// If false, requests are admitted as without priority ordering.
  bool enabled = true;
  /// Ordering applies to a service whose streaming routes' latency objectives differ by this factor
  /// or more; zero: to none.
  double min_objective_ratio = 0;
};

/// Whether a request can wait while others to the same service cannot.
enum class Urgency : std::uint8_t { kUrgent, kPatient };

/// Returns `urgent` or `patient`.
std::string_view ToString(Urgency urgency);

/// The position of a request among those of its service, determined on arrival.
struct RequestOrder {
  Urgency urgency = Urgency::kUrgent;
  bool over_share = false;  ///< its workspace uses more than its share, see WorkspaceShares
  Duration max_wait{0};     ///< from arrival; then it is sent regardless of load
};

/// Whether the objectives of a service's streaming routes differ enough to order its requests.
bool OrdersRequests(const PriorityOptions& options, Duration shortest, Duration longest);

/// kUrgent if the objective is below the geometric mean of the shortest and the longest latency
/// objective of the service.
Urgency UrgencyOf(Duration objective, Duration shortest, Duration longest);

/// The maximum time from arrival to admission: the caller's patience or the time limit, whichever
/// is shorter, less one latency objective, which the request needs after its admission. Callers of
/// streams leave if no event comes for 2 s, four latency objectives or eight pause objectives,
/// whichever is longest.
Duration MaxWait(Duration objective, Duration pause_objective, Duration time_limit);

}  // namespace ridgehold
