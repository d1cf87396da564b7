#include "groups/engine_groups.h"

#include <algorithm>
#include <map>
#include <utility>

namespace ridgehold {

void EngineGroups::SetEngines(std::span<const Engine> engines) {
  std::map<ZoneId, std::vector<std::size_t>> by_zone;
  for (std::size_t i = 0; i < engines.size(); ++i) by_zone[engines[i].zone].push_back(i);
  zones_.clear();
  for (auto& [zone, indexes] : by_zone) {
    std::ranges::sort(indexes, {}, [&](std::size_t i) { return engines[i].id_hash; });
    zones_.push_back(std::move(indexes));
  }
}

std::vector<std::size_t> EngineGroups::FirstOfEach(
    std::size_t size, std::span<const std::vector<std::size_t>> zones) {
  std::size_t total = 0;
  for (const auto& zone : zones) total += zone.size();
  std::vector<std::size_t> members;
  if (size == 0 || total == 0) return members;
  for (const auto& zone : zones) {
    const std::size_t share = (size * zone.size() + total - 1) / total;
    const auto end = zone.begin() + static_cast<std::ptrdiff_t>(std::min(share, zone.size()));
    members.insert(members.end(), zone.begin(), end);
  }
  return members;
}

}  // namespace ridgehold
