#include "quota/token_bucket.h"

#include <algorithm>
#include <chrono>

namespace ridgehold {
namespace {

// No fleet is limited by a rate or burst of 1e9 tokens; larger values would overflow.
constexpr std::uint64_t kMaxTokens = 1'000'000'000;
// After this long every bucket is full, or refills too slowly to matter.
constexpr std::chrono::hours kMaxFillTime{1};
constexpr QuotaAmount kUnitsPerTokenShare = 1'000'000;

QuotaAmount RefillPerMicrosecond(const RateLimit& rate) {
  return static_cast<QuotaAmount>(std::min(rate.tokens_per_s, kMaxTokens));
}

QuotaAmount Capacity(const RateLimit& rate) {
  return static_cast<QuotaAmount>(std::min(rate.burst, kMaxTokens)) * kUnitsPerTokenShare;
}

}  // namespace

QuotaAmount QuotaScale::units_per_token() const { return kUnitsPerTokenShare * shares_; }

QuotaAmount QuotaScale::FromTokens(std::uint64_t tokens) const {
  return static_cast<QuotaAmount>(std::min(tokens, kMaxTokens)) * units_per_token();
}

TokenBucket::TokenBucket(const QuotaLimits& limits, TimePoint empty_at)
    : limits_(limits), refilled_at_(empty_at) {
  levels_.steady = std::min<QuotaAmount>(0, Capacity(limits.steady) - Capacity(limits.bursting));
}

void TokenBucket::SetLimits(const QuotaLimits& limits, TimePoint now) {
  Refill(now);
  limits_ = limits;
  levels_.bursting = std::min(levels_.bursting, Capacity(limits.bursting));
  levels_.steady = std::min(levels_.steady, Capacity(limits.steady));
  history_.clear();
}

TokenBucket::Levels TokenBucket::RefilledBy(Levels levels, Duration time) const {
  const auto us = std::min<Duration>(time, kMaxFillTime).count();
  levels.bursting = std::min(Capacity(limits_.bursting),
                             levels.bursting + RefillPerMicrosecond(limits_.bursting) * us);
  levels.steady =
      std::min(Capacity(limits_.steady), levels.steady + RefillPerMicrosecond(limits_.steady) * us);
  return levels;
}

void TokenBucket::Deduct(Levels& levels, QuotaAmount amount) {
  levels.bursting -= amount;
  levels.steady -= amount;
}

void TokenBucket::Refill(TimePoint now) {
  if (now <= refilled_at_) return;
  levels_ = RefilledBy(levels_, std::chrono::duration_cast<Duration>(now - refilled_at_));
  refilled_at_ = now;
}

QuotaAmount TokenBucket::Available(TimePoint now) {
  Refill(now);
  return std::max({QuotaAmount{0}, levels_.bursting, levels_.steady});
}

bool TokenBucket::IsFull(TimePoint now) const {
  const auto passed =
      std::max(Duration::zero(), std::chrono::duration_cast<Duration>(now - refilled_at_));
  const Levels levels = RefilledBy(levels_, passed);
  return levels.bursting == Capacity(limits_.bursting) && levels.steady == Capacity(limits_.steady);
}

std::optional<ConsumedTokens> TokenBucket::TryConsume(QuotaAmount amount, TimePoint now) {
  if (amount > Available(now)) return std::nullopt;
  return ConsumeUpTo(amount, now);
}

ConsumedTokens TokenBucket::ConsumeUpTo(QuotaAmount amount, TimePoint now) {
  const QuotaAmount consumed = std::clamp<QuotaAmount>(amount, 0, Available(now));
  history_.push_back({++last_sequence_, refilled_at_, levels_, consumed});
  while (history_.size() > kMaxHistory || history_.front().at + kRestoreWindow < refilled_at_) {
    history_.pop_front();
  }
  Deduct(levels_, consumed);
  return {consumed, last_sequence_};
}

void TokenBucket::Restore(const ConsumedTokens& unused, TimePoint now) {
  Refill(now);
  auto at = std::ranges::lower_bound(history_, unused.sequence, {}, &Consumption::sequence);
  if (at == history_.end() || at->sequence != unused.sequence) return;
  at->amount = 0;
  // Replays the later consumptions without this one.
  levels_ = at->before;
  TimePoint from = at->at;
  for (; at != history_.end(); ++at) {
    levels_ = RefilledBy(levels_, std::chrono::duration_cast<Duration>(at->at - from));
    from = at->at;
    at->before = levels_;
    Deduct(levels_, at->amount);
  }
  levels_ = RefilledBy(levels_, std::chrono::duration_cast<Duration>(refilled_at_ - from));
}

}  // namespace ridgehold
