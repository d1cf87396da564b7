// Samples that are still to be sent to the trackers of the engines.

#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "performance/performance_update.h"

namespace ridgehold {

/// Sums of samples by engine. Not thread-safe.
class PendingPerformance {
 public:
  /// A gateway has requests at a few dozen engines at a time. Samples of further engines are
  /// dropped until the next Take(); the sums of the others stay correct.
  static constexpr std::size_t kMaxEngines = 256;

  void Add(const PerformanceUpdate& update);

  bool empty() const { return sums_.empty(); }

  /// Removes and returns all sums.
  std::vector<PerformanceUpdate> Take();

 private:
  std::unordered_map<std::uint64_t, PerformanceSample> sums_;
};

}  // namespace ridgehold
