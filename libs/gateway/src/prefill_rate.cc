#include "gateway/prefill_rate.h"

#include <algorithm>
#include <cmath>

namespace ridgehold {

ReadingSpeed::ReadingSpeed(double prior)
    : prior_(prior), tokens_(kPriorTokens), milliseconds_(kPriorTokens / prior) {}

void ReadingSpeed::Note(double tokens, Duration waited) {
  if (!std::isfinite(tokens) || tokens < kLeastTokens) return;
  const std::chrono::duration<double, std::milli> reading = waited - kBesideReading;
  const double at_slowest = tokens / (prior_ * kSlowest);
  const double at_fastest = tokens / (prior_ * kFastest);
  tokens_ = kKept * tokens_ + tokens;
  milliseconds_ = kKept * milliseconds_ + std::clamp(reading.count(), at_fastest, at_slowest);
}

double ReadingSpeed::tokens_per_ms() const { return tokens_ / milliseconds_; }

}  // namespace ridgehold
