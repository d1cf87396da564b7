#include "quota/token_bucket.h"

#include <algorithm>
#include <chrono>

namespace ridgehold {
namespace {

// A thousand million tokens a second, or at once, are no limit to any fleet; more
// would not fit into the arithmetic.
constexpr std::uint64_t kMostTokens = 1'000'000'000;
// Any bucket is full after so long, or as good as empty for ever.
constexpr std::chrono::hours kLongestFill{1};
constexpr QuotaParts kPartsForEachShare = 1'000'000;

QuotaParts PartsEachUs(const QuotaRate& rate) {
  return static_cast<QuotaParts>(std::min(rate.tokens_per_s, kMostTokens));
}

QuotaParts Most(const QuotaRate& rate) {
  return static_cast<QuotaParts>(std::min(rate.burst, kMostTokens)) * kPartsForEachShare;
}

}  // namespace

QuotaParts QuotaScale::token() const { return kPartsForEachShare * shares_; }

QuotaParts QuotaScale::Of(std::uint64_t tokens) const {
  return static_cast<QuotaParts>(std::min(tokens, kMostTokens)) * token();
}

TokenBucket::TokenBucket(const QuotaTerms& terms, TimePoint empty_at)
    : terms_(terms), filled_at_(empty_at) {
  levels_.steady = std::min<QuotaParts>(0, Most(terms.steady) - Most(terms.bursting));
}

void TokenBucket::SetTerms(const QuotaTerms& terms, TimePoint now) {
  Fill(now);
  terms_ = terms;
  levels_.bursting = std::min(levels_.bursting, Most(terms.bursting));
  levels_.steady = std::min(levels_.steady, Most(terms.steady));
  takings_.clear();
}

TokenBucket::Levels TokenBucket::FilledFor(Levels levels, Duration time) const {
  const auto us = std::min<Duration>(time, kLongestFill).count();
  levels.bursting =
      std::min(Most(terms_.bursting), levels.bursting + PartsEachUs(terms_.bursting) * us);
  levels.steady = std::min(Most(terms_.steady), levels.steady + PartsEachUs(terms_.steady) * us);
  return levels;
}

void TokenBucket::Reduce(Levels& levels, QuotaParts parts) {
  levels.bursting -= parts;
  levels.steady -= parts;
}

void TokenBucket::Fill(TimePoint now) {
  if (now <= filled_at_) return;
  levels_ = FilledFor(levels_, std::chrono::duration_cast<Duration>(now - filled_at_));
  filled_at_ = now;
}

QuotaParts TokenBucket::Level(TimePoint now) {
  Fill(now);
  return std::max({QuotaParts{0}, levels_.bursting, levels_.steady});
}

bool TokenBucket::IsFull(TimePoint now) const {
  const auto passed =
      std::max(Duration::zero(), std::chrono::duration_cast<Duration>(now - filled_at_));
  const Levels levels = FilledFor(levels_, passed);
  return levels.bursting == Most(terms_.bursting) && levels.steady == Most(terms_.steady);
}

std::optional<QuotaTaken> TokenBucket::Take(QuotaParts parts, TimePoint now) {
  if (parts > Level(now)) return std::nullopt;
  return TakeUpTo(parts, now);
}

QuotaTaken TokenBucket::TakeUpTo(QuotaParts parts, TimePoint now) {
  const QuotaParts taken = std::clamp<QuotaParts>(parts, 0, Level(now));
  takings_.push_back({++turn_, filled_at_, levels_, taken});
  while (takings_.size() > kMostTakings || takings_.front().at + kPutBackWithin < filled_at_) {
    takings_.pop_front();
  }
  Reduce(levels_, taken);
  return {taken, turn_};
}

void TokenBucket::PutBack(const QuotaTaken& unused, TimePoint now) {
  Fill(now);
  auto at = std::ranges::lower_bound(takings_, unused.turn, {}, &Taking::turn);
  if (at == takings_.end() || at->turn != unused.turn) return;
  at->parts = 0;
  // Played again without it.
  levels_ = at->before;
  TimePoint from = at->at;
  for (; at != takings_.end(); ++at) {
    levels_ = FilledFor(levels_, std::chrono::duration_cast<Duration>(at->at - from));
    from = at->at;
    at->before = levels_;
    Reduce(levels_, at->parts);
  }
  levels_ = FilledFor(levels_, std::chrono::duration_cast<Duration>(filled_at_ - from));
}

}  // namespace ridgehold
