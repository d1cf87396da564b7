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

/// Engines of a service that may load at once: one of `engines_for_each_load`,
/// rounded up.
std::uint32_t LoadsAtOnce(const BackendDirectory& directory, const ServiceId& service,
                          std::uint32_t engines_for_each_load);

/// Engines that are to load newer weights than they have, those that are being
/// brought up included.
std::size_t CountOutdated(const BackendDirectory& directory, const NamedWeights& named);

/// Returns the engines to begin with next: those on older weights, the oldest
/// and then the least busy first. `ending` of those begun will soon have
/// loaded; so many more are begun, to be emptied meanwhile. Pure.
std::vector<RolloutStep> NextSteps(const BackendDirectory& directory, const NamedWeights& named,
                                   const std::set<BackendId>& begun, std::size_t ending,
                                   std::uint32_t engines_for_each_load);

}  // namespace ridgehold
