#include "performance/known_performance.h"

#include <algorithm>

#include "performance/engine_performance.h"

namespace ridgehold {

void KnownPerformance::Update(const PerformanceReport& report, TimePoint now) {
  constexpr double kThousand = 1'000;
  if (report.slowness == 0) return;
  slowness_ = std::clamp(report.slowness / kThousand, EnginePerformance::kMinSlowness,
                         EnginePerformance::kMaxSlowness);
  home_weight_ = report.home_weight == 0 ? 1
                                         : std::clamp(report.home_weight / kThousand,
                                                      EnginePerformance::kVerySlowWeight, 1.0);
  valid_until_ = now + kLifetime;
}

}  // namespace ridgehold
