// Estimates the prefill rate of a service's engines from the first events of requests.

#pragma once

#include <chrono>

#include "base/ids.h"

namespace ridgehold {

/// Estimates the rate at which queued prompt tokens are processed, averaged over all engines of a
/// service and including the effect of whatever else runs there. The rate differs by a third
/// between deployments, and underestimating the wait fills engines until every request is late. Not
/// thread-safe.
class PrefillRateEstimator {
 public:
  /// Samples with fewer tokens are ignored: they measure round trips and decode steps rather than
  /// prefill.
  static constexpr double kMinTokens = 1'000;
  /// Time not spent on prefill: the round trip, the call and the step that produces the first
  /// event. 15 to 30 ms were measured for prompts of a few hundred tokens on idle engines.
  static constexpr std::chrono::milliseconds kFixedOverhead{20};
  /// Weight of the prior, in sampled tokens.
  static constexpr double kPriorTokens = 30'000;
  /// Decay factor applied to older samples by each new one. About the last thirty samples dominate,
  /// some 10 s of one gateway's requests.
  static constexpr double kDecay = 0.97;
  /// Bounds on each sample relative to the prior, because some samples measure something else: a
  /// wait for a fetch, a stalled engine, or parts that were cached after all.
  static constexpr double kMinRateFactor = 0.25;
  static constexpr double kMaxRateFactor = 2;

  /// `prior`: the rate from the settings, in tokens/ms.
  explicit PrefillRateEstimator(double prior);

  /// Records that a first event came `waited` after its request was sent to an engine with `tokens`
  /// left to prefill at that time, including the request's own.
  void Record(double tokens, Duration waited);

  /// The estimated rate in tokens/ms, within bounds around the prior.
  double tokens_per_ms() const;

 private:
  double prior_;
  double tokens_;
  double milliseconds_;
};

}  // namespace ridgehold
