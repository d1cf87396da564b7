// Assigns the engines of a service to its interactive group.

#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "base/ids.h"

namespace ridgehold {

/// The engines of each zone in the order of a hash of their ids. The first healthy ones of each
/// zone are the interactive group, so that all gateways with the same size agree without messages,
/// a change of size moves few engines, and the next engine replaces one that crashed. The order is
/// computed only when the engines change. Not thread-safe.
class EngineGroups {
 public:
  struct Engine {
    std::uint64_t id_hash = 0;
    ZoneId zone;
  };

  /// Replaces the engines. Below, they are referred to by their index in `engines`.
  void SetEngines(std::span<const Engine> engines);

  /// Returns the group. The size is divided among the zones in proportion to their healthy engines,
  /// rounded up for each zone, with at least one engine for each zone that has a healthy one.
  template <std::predicate<std::size_t> IsHealthy>
  std::vector<std::size_t> Members(std::size_t size, IsHealthy&& is_healthy) const {
    std::vector<std::vector<std::size_t>> healthy(zones_.size());
    for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
      for (const std::size_t engine : zones_[zone]) {
        if (is_healthy(engine)) healthy[zone].push_back(engine);
      }
    }
    return FirstOfEach(size, healthy);
  }

 private:
  static std::vector<std::size_t> FirstOfEach(std::size_t size,
                                              std::span<const std::vector<std::size_t>> zones);

  std::vector<std::vector<std::size_t>> zones_;  ///< the engines of each zone, in order
};

}  // namespace ridgehold
