#include "performance/pending_performance.h"

namespace ridgehold {

void PendingPerformance::Add(const PerformanceUpdate& update) {
  if (sums_.size() >= kMaxEngines && !sums_.contains(update.backend)) return;
  PerformanceSample& sum = sums_[update.backend];
  sum.expected_ms += update.sample.expected_ms;
  sum.observed_ms += update.sample.observed_ms;
}

std::vector<PerformanceUpdate> PendingPerformance::Take() {
  std::vector<PerformanceUpdate> updates;
  updates.reserve(sums_.size());
  for (const auto& [backend, sum] : sums_) updates.push_back({backend, sum});
  sums_.clear();
  return updates;
}

}  // namespace ridgehold
