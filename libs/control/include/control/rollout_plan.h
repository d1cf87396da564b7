// Selects the engines that are to load newer weights, and how many load concurrently.

#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "gateway/backend_directory.h"
#include "gateway/weights_history.h"

namespace ridgehold {

/// An engine that is to load weights of a model.
struct RolloutStep {
  BackendPtr engine;
  ModelId model;
};

/// Returns the engines with outdated weights. Engines that fail come last; the others are ordered
/// by oldest weights, then by least load.
std::vector<RolloutStep> OutdatedEngines(const BackendDirectory& directory,
                                         const WeightsHistory& named);

/// Returns how many engines of a service load concurrently when there is no time pressure: one of
/// `engines_per_load`, rounded up.
std::uint32_t DefaultLoadConcurrency(const BackendDirectory& directory, const ServiceId& service,
                                     std::uint32_t engines_per_load);

/// Returns how many engines must load concurrently, at least `default_concurrency`, so that each
/// gets its order in time. `time_left` has an entry for each engine, and each load takes `load`.
/// Engines with the least time left go first, so a late engine adds concurrency only for itself and
/// not for all others. Pure.
std::uint32_t RequiredLoadConcurrency(std::uint32_t default_concurrency,
                                      std::vector<Duration> time_left, Duration load);

}  // namespace ridgehold
