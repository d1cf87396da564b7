// Divides the engines of a service between its interactive and its bulk requests.

#pragma once

#include <optional>

#include "gateway/exchange_plan.h"

namespace ridgehold {

/// Updates the interactive group of a service: its size from the demand of the fleet, its members
/// (Backend::in_interactive_group) from the health of the engines.
void UpdateEngineGroup(GatewayState& state, ServiceGroups& groups, const ExchangePlan& plan,
                       TimePoint now);

/// Updates the group and returns how the request is placed; nothing if the service has no group at
/// present, so that any engine is used.
std::optional<RequestGroup> PlacementGroupOf(GatewayState& state, const ExchangePlan& plan,
                                             TimePoint now);

/// Exports the sizes of the groups and the demand of the fleet.
void UpdateGroupGauges(GatewayState& state);

}  // namespace ridgehold
