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

}  // namespace

QuotaParts QuotaScale::Of(std::uint64_t tokens) const {
  return static_cast<QuotaParts>(std::min(tokens, kMostTokens)) * token();
}

QuotaParts QuotaScale::ShareOf(std::uint64_t tokens) {
  return static_cast<QuotaParts>(std::min(tokens, kMostTokens)) * kPartsForEachShare;
}

TokenBucket::TokenBucket(const QuotaTerms& terms, TimePoint empty_at) : filled_at_(empty_at) {
  SetTerms(terms, empty_at);
}

void TokenBucket::SetTerms(const QuotaTerms& terms, TimePoint now) {
  Fill(now);
  parts_each_us_ = static_cast<QuotaParts>(std::min(terms.rate, kMostTokens));
  most_ = QuotaScale::ShareOf(terms.burst);
  level_ = std::min(level_, most_);
  takings_.clear();
}

QuotaParts TokenBucket::FilledFor(QuotaParts level, TimePoint from, TimePoint to) const {
  const auto passed =
      std::min<Duration>(std::chrono::duration_cast<Duration>(to - from), kLongestFill);
  return std::min(most_, level + parts_each_us_ * passed.count());
}

void TokenBucket::Fill(TimePoint now) {
  if (now <= filled_at_) return;
  level_ = FilledFor(level_, filled_at_, now);
  filled_at_ = now;
}

QuotaParts TokenBucket::Level(TimePoint now) {
  Fill(now);
  return level_;
}

std::optional<QuotaTaken> TokenBucket::Take(QuotaParts parts, TimePoint now) {
  if (parts > Level(now)) return std::nullopt;
  return TakeUpTo(parts, now);
}

QuotaTaken TokenBucket::TakeUpTo(QuotaParts parts, TimePoint now) {
  Fill(now);
  const QuotaParts taken = std::clamp<QuotaParts>(parts, 0, level_);
  takings_.push_back({++turn_, filled_at_, level_, taken});
  if (takings_.size() > kMostTakings) takings_.pop_front();
  level_ -= taken;
  return {taken, turn_};
}

void TokenBucket::PutBack(const QuotaTaken& unused, TimePoint now) {
  Fill(now);
  auto at = std::ranges::lower_bound(takings_, unused.turn, {}, &Taking::turn);
  if (at == takings_.end() || at->turn != unused.turn) return;
  at->parts = 0;
  // Played again without it.
  level_ = at->level_before;
  TimePoint from = at->at;
  for (; at != takings_.end(); ++at) {
    level_ = FilledFor(level_, from, at->at);
    from = at->at;
    at->level_before = level_;
    level_ -= at->parts;
  }
  level_ = FilledFor(level_, from, filled_at_);
}

}  // namespace ridgehold
