// The speed of one engine, at the gateways that track it.

#pragma once

#include "performance/performance_update.h"

namespace ridgehold {

/// Learns from all gateways' samples how slow an engine is relative to the others, and how many
/// prompts should have their home there. Engines also slow down for some 600 ms at a time, and an
/// engine must not lose its cache for that; hence the half-life, and no use of the longest pause.
/// An engine of another incarnation gets a new object. Not thread-safe.
class EnginePerformance {
 public:
  /// Half-life of the sums, in expected time: several slow periods under the usual load of an
  /// engine, which gives about a second of expected time each second.
  static constexpr double kHalfLifeMs = 5'000;
  /// Weight of the assumption that an engine is as fast as the others.
  static constexpr double kPriorMs = 500;
  static constexpr double kMinSlowness = 0.25;
  static constexpr double kMaxSlowness = 4;
  /// Above kSlow an engine is home to half as many prompts as others, from kVerySlow on to a
  /// quarter.
  static constexpr double kSlow = 1.4;
  static constexpr double kVerySlow = 2.2;
  static constexpr double kSlowWeight = 0.5;
  static constexpr double kVerySlowWeight = 0.25;
  /// The weight rises again only this far below the threshold: each change moves homes and cached
  /// prompts, and the estimate varies by about as much between slow periods.
  static constexpr double kHysteresis = 0.15;

  void Add(const PerformanceSample& sample);

  /// Time that the engine takes relative to the others: 2 is half as fast.
  double slowness() const;
  /// Relative share of prompts that have their home at the engine.
  double home_weight() const { return home_weight_; }

  /// Zeros if nothing was observed, so that a tracker that has just started does not replace what
  /// gateways know.
  PerformanceReport Report() const;

 private:
  void UpdateHomeWeight();

  PerformanceSample sums_{kPriorMs, kPriorMs};
  double home_weight_ = 1;
  bool observed_ = false;
};

}  // namespace ridgehold
