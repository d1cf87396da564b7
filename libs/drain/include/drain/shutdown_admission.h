// Decides whether a request is still passed on while the instance shuts down.

#pragma once

#include <optional>

#include "base/ids.h"
#include "drain/service_times.h"

namespace ridgehold {

/// A request that no backend server has got yet.
struct PendingRequest {
  RuleId route;
  bool may_repeat = false;  ///< its caller may send it again after a response that does not come
  TimePoint answer_by;      ///< the end of its time limit
};

/// Whether the request will be answered before `end`, by the times of earlier requests of its
/// route. If these tell nothing, only a request that may be repeated counts as such.
bool FitsBefore(TimePoint end, const PendingRequest& request, const ServiceTimes& times,
                TimePoint now);

}  // namespace ridgehold
