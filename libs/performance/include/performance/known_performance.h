// What a gateway knows of an engine's speed from the reports of its tracker.

#pragma once

#include <chrono>

#include "base/ids.h"
#include "performance/performance_update.h"

namespace ridgehold {

/// Not thread-safe; time is passed in.
class KnownPerformance {
 public:
  /// The last report is used for this long if the tracker is lost: longer than a gateway takes to
  /// poll each engine, and than another tracker takes to be asked.
  static constexpr std::chrono::seconds kLifetime{30};

  /// Takes the values of a report, within the bounds of EnginePerformance. Ignores a report that
  /// says nothing.
  void Update(const PerformanceReport& report, TimePoint now);

  /// 1 if not known.
  double SlownessAt(TimePoint now) const { return IsCurrent(now) ? slowness_ : 1; }
  /// 1 if not known.
  double HomeWeightAt(TimePoint now) const { return IsCurrent(now) ? home_weight_ : 1; }

 private:
  bool IsCurrent(TimePoint now) const { return now < valid_until_; }

  double slowness_ = 1;
  double home_weight_ = 1;
  TimePoint valid_until_{};
};

}  // namespace ridgehold
