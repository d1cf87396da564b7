#include "performance/engine_performance.h"

#include <algorithm>
#include <cmath>

namespace ridgehold {
namespace {

double WeightAt(double slowness) {
  if (slowness >= EnginePerformance::kVerySlow) return EnginePerformance::kVerySlowWeight;
  return slowness > EnginePerformance::kSlow ? EnginePerformance::kSlowWeight : 1;
}

std::uint32_t Thousandths(double value) {
  constexpr double kThousand = 1'000;
  return static_cast<std::uint32_t>(std::lround(value * kThousand));
}

}  // namespace

void EnginePerformance::Add(const PerformanceSample& sample) {
  const double kept = std::exp2(-sample.expected_ms / kHalfLifeMs);
  sums_.expected_ms = kept * sums_.expected_ms + sample.expected_ms;
  sums_.observed_ms = kept * sums_.observed_ms + sample.observed_ms;
  observed_ = true;
  UpdateHomeWeight();
}

double EnginePerformance::slowness() const {
  return std::clamp(sums_.observed_ms / sums_.expected_ms, kMinSlowness, kMaxSlowness);
}

PerformanceReport EnginePerformance::Report() const {
  if (!observed_) return {};
  return {Thousandths(slowness()), Thousandths(home_weight_)};
}

void EnginePerformance::UpdateHomeWeight() {
  const double falling = WeightAt(slowness());
  const double rising = WeightAt(slowness() + kHysteresis);
  home_weight_ = std::max(std::min(home_weight_, falling), rising);
}

}  // namespace ridgehold
