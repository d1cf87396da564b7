// How fast a service's engines read prompts, estimated from the first events of requests.

#pragma once

#include <chrono>

#include "base/ids.h"

namespace ridgehold {

/// The speed that decisions need is the one at which waiting goes down: of all
/// engines of a service, beside whatever else runs there. It differs by a third
/// between deployments, and a wait that is taken for shorter than it is fills
/// engines until every request is late. Not thread-safe.
class PrefillRateEstimator {
 public:
  /// Fewer tokens tell of round trips and single steps rather than of reading.
  static constexpr double kMinTokens = 1'000;
  /// Round trip, call and the step in which the first event is made; 15 to 30 ms
  /// were seen for prompts of a few hundred tokens at idle engines.
  static constexpr std::chrono::milliseconds kFixedOverhead{20};
  /// The first figure counts like so many tokens that were seen to be read.
  static constexpr double kPriorTokens = 30'000;
  /// Part that older samples keep with each new one: the last thirty or so
  /// decide, some 10 s of one gateway's requests.
  static constexpr double kDecay = 0.97;
  /// Bounds against samples that measure something else: a wait for a fetch, a
  /// stalled engine, parts that were found after all.
  static constexpr double kMinRateFactor = 0.25;
  static constexpr double kMaxRateFactor = 2;

  /// `prior` in tokens a millisecond, from the settings.
  explicit PrefillRateEstimator(double prior);

  /// A first event came `waited` after its request was sent to an engine that
  /// had `tokens` left to read by then, those of the request included.
  void Record(double tokens, Duration waited);

  /// Tokens a millisecond, within bounds around the prior.
  double tokens_per_ms() const;

 private:
  double prior_;
  double tokens_;
  double milliseconds_;
};

}  // namespace ridgehold
