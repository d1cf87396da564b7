#include "gateway/prefill_rate.h"

#include <algorithm>
#include <cmath>

namespace ridgehold {

PrefillRateEstimator::PrefillRateEstimator(double prior)
    : prior_(prior), tokens_(kPriorTokens), milliseconds_(kPriorTokens / prior) {}

void PrefillRateEstimator::Record(double tokens, Duration waited) {
  if (!std::isfinite(tokens) || tokens < kMinTokens) return;
  const std::chrono::duration<double, std::milli> reading = waited - kFixedOverhead;
  const double at_slowest = tokens / (prior_ * kMinRateFactor);
  const double at_fastest = tokens / (prior_ * kMaxRateFactor);
  tokens_ = kDecay * tokens_ + tokens;
  milliseconds_ = kDecay * milliseconds_ + std::clamp(reading.count(), at_fastest, at_slowest);
}

double PrefillRateEstimator::tokens_per_ms() const { return tokens_ / milliseconds_; }

}  // namespace ridgehold
