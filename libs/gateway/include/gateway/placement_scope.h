// The part of a service's backend servers among which a gateway places requests.

#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "gateway/backend_directory.h"
#include "gateway/zone_topology.h"

namespace ridgehold {

enum class PlacementScope : std::uint8_t { kZone, kRegion, kAll };

/// Where a gateway is, and which of the servers around it suffice.
struct ScopeQuery {
  ZoneId own_zone;
  const ZoneTopology& topology;
  /// A zone with this many healthy servers needs no others: its engines hold every prompt that its
  /// callers share several times over.
  std::size_t min_zone_servers = 256;
  TimePoint now{};
};

/// Returns the smallest scope that suffices. Prompts that are placed within it are computed once
/// for each zone or region instead of crossing between them, a cut between zones does not interrupt
/// them, and the work of a choice does not grow with the whole fleet. Pure.
PlacementScope ScopeFor(const ScopeQuery& query, std::span<const BackendPtr> servers);

bool IsInScope(const ScopeQuery& query, PlacementScope scope, const Backend& backend);

}  // namespace ridgehold
