// Which engines should load newer weights now.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
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

/// Bounds of a rollout.
struct RolloutLimits {
  /// More loads at once make each of them slower.
  std::uint32_t at_once = 2;
};

/// Returns the engines to order next: those on older weights, the oldest and
/// then the least busy first, so many that with `loading` the limit is not passed. Pure.
std::vector<RolloutStep> NextSteps(const BackendDirectory& directory,
                                   const NamedWeights& named,
                                   const std::map<BackendId, TimePoint>& loading,
                                   const RolloutLimits& limits);

}  // namespace ridgehold
