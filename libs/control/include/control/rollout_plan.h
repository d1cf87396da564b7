// Which engines should load newer weights now.

#pragma once

#include <cstdint>
#include <set>
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

/// Engines of a service that may load at once: the platform slows loads down
/// beyond a fifth of them.
std::uint32_t LoadsAtOnce(const BackendDirectory& directory, const ServiceId& service);

/// Returns the engines to begin with next: those on older weights, the oldest
/// and then the least busy first. Twice as many as may load at once are
/// begun, so that some are emptied while others load. Pure.
std::vector<RolloutStep> NextSteps(const BackendDirectory& directory, const NamedWeights& named,
                                   const std::set<BackendId>& begun);

}  // namespace ridgehold
