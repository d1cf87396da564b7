#include "performance/performance_update.h"

#include <cmath>

namespace ridgehold {

bool IsValid(const PerformanceSample& sample) {
  constexpr double kRounding = 1.001;
  return std::isfinite(sample.expected_ms) && std::isfinite(sample.observed_ms) &&
         sample.expected_ms > 0 && sample.observed_ms >= 0 &&
         sample.observed_ms <= kRounding * kMaxObservedRatio * sample.expected_ms;
}

}  // namespace ridgehold
