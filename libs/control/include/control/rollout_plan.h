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
/// `engines_for_each_load`, rounded up.
std::uint32_t UsualLoadsAtOnce(const BackendDirectory& directory, const ServiceId& service,
                               std::uint32_t engines_for_each_load);

/// Engines that must load at once, so that `engines` of them, each taking
/// `load`, have their orders within `time_left`; `usual` at least. Pure.
std::uint32_t LoadsAtOnce(std::uint32_t usual, std::size_t engines, Duration load,
                          Duration time_left);

}  // namespace ridgehold
