#include "gateway/placement_scope.h"

namespace ridgehold {
namespace {

bool IsHealthy(const Backend& backend, TimePoint now) {
  return HasPath(backend) && !backend.grace_until && !IsAvoided(backend, now);
}

}  // namespace

PlacementScope ScopeFor(const ScopeQuery& query, std::span<const BackendPtr> servers) {
  std::size_t in_zone = 0;
  std::size_t in_region = 0;
  std::size_t elsewhere = 0;
  for (const BackendPtr& server : servers) {
    const ZoneDistance distance = query.topology.Between(query.own_zone, server->entry.zone);
    if (distance == ZoneDistance::kOtherRegion) {
      ++elsewhere;
    } else if (IsHealthy(*server, query.now)) {
      ++(distance == ZoneDistance::kSameZone ? in_zone : in_region);
    }
  }
  if (in_zone >= query.min_zone_servers) return PlacementScope::kZone;
  const bool region_suffices = elsewhere > 0 && in_zone + in_region > 0;
  return region_suffices ? PlacementScope::kRegion : PlacementScope::kAll;
}

bool IsInScope(const ScopeQuery& query, PlacementScope scope, const Backend& backend) {
  if (scope == PlacementScope::kAll) return true;
  const ZoneDistance distance = query.topology.Between(query.own_zone, backend.entry.zone);
  return scope == PlacementScope::kZone ? distance == ZoneDistance::kSameZone
                                        : distance != ZoneDistance::kOtherRegion;
}

}  // namespace ridgehold
