// How many engines of a service the interactive requests need for themselves.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "groups/group_demand.h"

namespace ridgehold {

/// The healthy engines of a service.
struct GroupCapacity {
  std::size_t engines = 0;
  std::uint32_t slots = 0;             ///< of each engine; 0: not known
  double tokens_per_ms = 0;            ///< prefill rate of each engine
  bool interactive_is_urgent = false;  ///< interactive requests are more urgent than bulk ones

  /// Each engine that bulk requests lose also loses their cached prompts, which are then read again
  /// elsewhere. The group may therefore have a third of the engines only if its requests are more
  /// urgent, and an eighth otherwise; what does not fit runs beside bulk requests.
  std::size_t max_group_size() const { return engines / (interactive_is_urgent ? 3 : 8); }
};

/// The size of the interactive group that the fleet's demand requires, so that short prompts with
/// streams are not delayed by each other: at most half of the group's slots and 30 % of its prefill
/// capacity are used, because arrivals vary by as much within a second and a gateway sees only the
/// few engines that it polls. If that would leave the bulk requests with engines that are busy for
/// more than 70 % of the time, where their queues grow long, the group uses 80 % and 60 %. Zero
/// without interactive demand; nothing if there is no bulk demand, so that no group is needed.
/// Pure.
std::optional<std::size_t> RequiredGroupSize(const DemandSample& fleet,
                                             const GroupCapacity& capacity);

}  // namespace ridgehold
