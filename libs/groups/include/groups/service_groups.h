// What a gateway keeps about the engine groups of one service.

#pragma once

#include <cstdint>

#include "groups/engine_groups.h"
#include "groups/group_demand.h"
#include "groups/group_sizer.h"
#include "groups/sampled_demand.h"

namespace ridgehold {

/// Long prompts make the streams on the same engine pause for the time of their prefill. Short
/// prompts with streams therefore get engines of their own, as many as the demand of the fleet
/// requires.
struct ServiceGroups {
  GroupDemand own_demand;
  SampledDemand peer_demand;
  DemandSample fleet_demand;  ///< as of the last update of the size
  GroupSizer sizer;
  EngineGroups engines;
  std::uint64_t directory_version = 0;  ///< of the directory that `engines` was set from
};

}  // namespace ridgehold
