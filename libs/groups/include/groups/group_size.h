// How many engines of a service the interactive requests need for themselves.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "groups/group_demand.h"

namespace ridgehold {

/// Bounds on the interactive group. Each engine that bulk requests lose also loses their cached
/// prompts, which are then read again elsewhere. Requests that do not fit into the group run beside
/// bulk requests.
struct GroupLimits {
  bool enabled = true;
  /// Largest part of the engines, if interactive requests are more urgent than bulk ones.
  double max_urgent_part = 1.0 / 3;
  /// The same if both are equally urgent; 0: no group.
  double max_equal_part = 0.125;
};

/// The healthy engines of a service.
struct GroupCapacity {
  std::size_t engines = 0;
  std::uint32_t slots = 0;   ///< of each engine; 0: not known
  double tokens_per_ms = 0;  ///< prefill rate of each engine
  double max_part = 0;       ///< part of the engines that the group may have, up to 1

  std::size_t max_group_size() const {
    return static_cast<std::size_t>(max_part * static_cast<double>(engines));
  }
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
