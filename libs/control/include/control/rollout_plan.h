// Which engines should load newer weights now.

#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "gateway/backend_directory.h"
#include "gateway/named_weights.h"

namespace ridgehold {

/// An engine that is to load weights.
struct RolloutStep {
  BackendPtr engine;
  ModelId model;
};

/// Engines that are to load newer weights than they have, the oldest and then
/// the least busy first.
std::vector<RolloutStep> OutdatedEngines(const BackendDirectory& directory,
                                         const NamedWeights& named);

/// Engines of a service that load at once when there is time: one of
/// `engines_per_load`, rounded up.
std::uint32_t DefaultLoadConcurrency(const BackendDirectory& directory, const ServiceId& service,
                                     std::uint32_t engines_per_load);

/// Engines that must load at once so that each has its order in time, `usual`
/// at least: `time_left` has an entry for each engine, and each takes `load`.
/// Those with the least time go first; so an engine that is late hurries those
/// before it, and not all others. Pure.
std::uint32_t RequiredLoadConcurrency(std::uint32_t usual, std::vector<Duration> time_left,
                                      Duration load);

}  // namespace ridgehold
