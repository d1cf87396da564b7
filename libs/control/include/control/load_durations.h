// Durations of weight loads by how many ran concurrently.

#pragma once

#include <cstdint>
#include <map>

#include "base/ids.h"

namespace ridgehold {

/// Determines how many concurrent loads shorten a rollout. Where loads share a bottleneck, more of
/// them only take more engines out of service: nine concurrent loads took 2.9 s where two take
/// 0.7 s, and for two seconds no engine was available. Not thread-safe.
class LoadDurations {
 public:
  /// Records that a load took `duration` while `concurrency` loads ran, itself included.
  void Record(std::uint32_t concurrency, Duration duration);

  /// Returns the largest concurrency that is worthwhile, at least `default_concurrency`. A
  /// concurrency that has not been measured yet is assumed to help up to twice the largest one that
  /// did.
  std::uint32_t MaxUsefulConcurrency(std::uint32_t default_concurrency) const;

 private:
  std::map<std::uint32_t, Duration> shortest_;  ///< by concurrency
};

}  // namespace ridgehold
