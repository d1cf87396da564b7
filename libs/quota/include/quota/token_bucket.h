// A token bucket that counts exactly, and holds one of several equal shares of a quota.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/ids.h"
#include "quota/workspace_quota.h"

namespace ridgehold {

/// An amount of tokens, in parts so small that a share of any quota is a whole
/// number of them; see QuotaScale.
using QuotaParts = std::int64_t;

/// How many parts a token has: a million for each share. With `n` shares one share
/// of `r` tokens a second is then `r` parts a microsecond, so nothing is rounded.
class QuotaScale {
 public:
  explicit QuotaScale(std::uint32_t shares) : shares_(shares == 0 ? 1 : shares) {}

  std::uint32_t shares() const { return shares_; }
  bool operator==(const QuotaScale&) const = default;
  QuotaParts token() const;
  QuotaParts Of(std::uint64_t tokens) const;

 private:
  std::uint32_t shares_;
};

/// What was taken at one time.
struct QuotaTaken {
  QuotaParts parts = 0;
  std::uint64_t turn = 0;  ///< counts the takings from a bucket

  bool operator==(const QuotaTaken&) const = default;
};

/// Two buckets, of the bursting and of the steady rate. What one of them has may be
/// taken, and is taken out of both, so either may be overdrawn. In a stretch of time no
/// more is taken than the larger of `rate * t + burst`, of one share of each: at its
/// last taking one of them was not overdrawn. Not thread-safe; time comes in as a value
/// and only moves forward.
class TokenBucket {
 public:
  /// Nothing is in it at `empty_at`, and whoever had the share before may have taken a
  /// whole burst just then.
  TokenBucket(const QuotaTerms& terms, TimePoint empty_at);

  /// What is in it beyond the new burst is lost.
  void SetTerms(const QuotaTerms& terms, TimePoint now);

  /// What may be taken.
  QuotaParts Level(TimePoint now);
  /// Whether it is as one from which nothing was ever taken.
  bool IsFull(TimePoint now) const;

  /// Takes all of `parts` or nothing.
  std::optional<QuotaTaken> Take(QuotaParts parts, TimePoint now);
  /// Takes what is there, at most `parts`.
  QuotaTaken TakeUpTo(QuotaParts parts, TimePoint now);

  /// Puts back what was taken and not used. The bucket has then what it would have had
  /// without that taking, and not more: with the tokens left in it, it might have been
  /// full for a while and have lost what came in. Only since the last change of terms.
  void PutBack(const QuotaTaken& unused, TimePoint now);

  bool operator==(const TokenBucket&) const = default;

 private:
  struct Levels {
    QuotaParts bursting = 0;
    QuotaParts steady = 0;

    bool operator==(const Levels&) const = default;
  };
  struct Taking {
    std::uint64_t turn = 0;
    TimePoint at{};
    Levels before;
    QuotaParts parts = 0;

    bool operator==(const Taking&) const = default;
  };
  /// What was taken before these can't be put back: some 1,000 requests a second for
  /// as long as a request may wait and still not run.
  static constexpr std::size_t kMostTakings = 4'096;
  static constexpr std::chrono::seconds kPutBackWithin{4};

  void Fill(TimePoint now);
  Levels FilledFor(Levels levels, Duration time) const;
  static void Reduce(Levels& levels, QuotaParts parts);

  QuotaTerms terms_;
  Levels levels_;
  TimePoint filled_at_{};
  std::uint64_t turn_ = 0;
  std::deque<Taking> takings_;  ///< the last ones, in their order
};

}  // namespace ridgehold
