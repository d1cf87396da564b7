// An exact token bucket for one of several equal shares of a quota.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/ids.h"
#include "quota/workspace_quota.h"

namespace ridgehold {

/// An amount of tokens in fixed-point units, small enough that a share of any quota is a whole
/// number of them; see QuotaScale.
using QuotaAmount = std::int64_t;

/// Converts tokens to units. One token is a million units times the number of shares, so that one
/// share of `r` tokens per second refills at exactly `r` units per microsecond.
class QuotaScale {
 public:
  explicit QuotaScale(std::uint32_t shares) : shares_(shares == 0 ? 1 : shares) {}

  std::uint32_t shares() const { return shares_; }
  bool operator==(const QuotaScale&) const = default;
  QuotaAmount units_per_token() const;
  QuotaAmount FromTokens(std::uint64_t tokens) const;

 private:
  std::uint32_t shares_;
};

/// An amount consumed from a bucket in one call.
struct ConsumedTokens {
  QuotaAmount amount = 0;
  std::uint64_t sequence = 0;  ///< of the consumption, unique in its bucket

  bool operator==(const ConsumedTokens&) const = default;
};

/// Two buckets, for the bursting and the steady limit. An amount that either of them holds may be
/// consumed, and is deducted from both, so one of them may be overdrawn. The consumption in
/// any interval `t` is at most the larger of the two limits' `rate * t + burst`, for one share: at
/// the last consumption in it one of the buckets was not overdrawn. Not thread-safe; time is passed
/// in and must not decrease.
class TokenBucket {
 public:
  /// The bucket is empty at `empty_at`. The previous holder of the share is assumed to have
  /// consumed a whole burst at that moment.
  TokenBucket(const QuotaLimits& limits, TimePoint empty_at);

  /// Tokens beyond the new burst are discarded.
  void SetLimits(const QuotaLimits& limits, TimePoint now);

  /// Returns the amount that can be consumed.
  QuotaAmount Available(TimePoint now);
  /// Returns whether the state equals that of a bucket from which nothing was ever consumed.
  bool IsFull(TimePoint now) const;

  /// Consumes `amount` in full, or nothing.
  std::optional<ConsumedTokens> TryConsume(QuotaAmount amount, TimePoint now);
  /// Consumes what is available, at most `amount`.
  ConsumedTokens ConsumeUpTo(QuotaAmount amount, TimePoint now);

  /// Undoes a consumption whose tokens were not used. The bucket is left as if it had never
  /// happened, which may add less than the amount: a bucket that had stayed full would have
  /// discarded refills. Has no effect on amounts consumed before the last change of limits.
  void Restore(const ConsumedTokens& unused, TimePoint now);

  bool operator==(const TokenBucket&) const = default;

 private:
  struct Levels {
    QuotaAmount bursting = 0;
    QuotaAmount steady = 0;

    bool operator==(const Levels&) const = default;
  };
  struct Consumption {
    std::uint64_t sequence = 0;
    TimePoint at{};
    Levels before;
    QuotaAmount amount = 0;

    bool operator==(const Consumption&) const = default;
  };
  /// Older consumptions cannot be restored. Sized for about 1,000 requests per second over the time
  /// that a request may wait and still not run.
  static constexpr std::size_t kMaxHistory = 4'096;
  static constexpr std::chrono::seconds kRestoreWindow{4};

  void Refill(TimePoint now);
  Levels RefilledBy(Levels levels, Duration time) const;
  static void Deduct(Levels& levels, QuotaAmount amount);

  QuotaLimits limits_;
  Levels levels_;
  TimePoint refilled_at_{};
  std::uint64_t last_sequence_ = 0;
  std::deque<Consumption> history_;  ///< most recent, in order
};

}  // namespace ridgehold
