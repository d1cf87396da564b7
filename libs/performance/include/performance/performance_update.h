// What gateways tell each other about the speed of engines.

#pragma once

#include <cstdint>

namespace ridgehold {

/// Waits that were observed, and what they would have been at an engine of average speed.
struct PerformanceSample {
  double expected_ms = 0;
  double observed_ms = 0;
};

/// The sums of one gateway's samples of one engine since its last update.
struct PerformanceUpdate {
  std::uint64_t backend = 0;  ///< hash of the engine's incarnation
  PerformanceSample sample;
};

/// The state of an engine as its tracker reports it, in thousandths; 0: not known.
struct PerformanceReport {
  std::uint32_t slowness = 0;
  std::uint32_t home_weight = 0;
};

/// An observation counts at most this many times its expectation, because a stall of the gateway, a
/// lost connection or an evicted cache also make it long.
inline constexpr double kMaxObservedRatio = 4;

/// Whether a sample that another gateway sent can be one. Rounding of its sums is allowed for.
bool IsValid(const PerformanceSample& sample);

}  // namespace ridgehold
