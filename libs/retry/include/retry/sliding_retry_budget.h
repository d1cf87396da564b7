// One gateway's share of a service's retry budget over a sliding window.

#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "base/ids.h"
#include "retry/retry_budget_limits.h"
#include "retry/retry_reservation.h"
#include "retry/retry_standing.h"

namespace ridgehold {

/// Counts a service's requests and retries over the last window. A retry is allowed while the
/// window in which it arrives stays within this gateway's share: its part of the slack, plus
/// `ratio` of its own requests. A burst of retries may thus use the budget earned by the last
/// window's requests. Approximations err towards fewer retries: requests are counted over less than
/// the window, retries over more.
///
/// The counts are lost with the process. A process that has left no record of its retries is
/// therefore also limited by a token bucket, which starts empty and is filled by requests: however
/// often it is replaced, the retries of a window are paid for by the requests of that window.
///
/// Not thread-safe; the caller supplies the time.
class SlidingRetryBudget {
 public:
  /// Fraction of the limit that is used; the remainder covers unknown gateways.
  static constexpr double kUsedFraction = 0.8;

  /// Maximum time between the send of a retry and its arrival, which may include connecting, see
  /// ConnectionPool::Options::connect_timeout.
  static constexpr std::chrono::milliseconds kMaxConnectDelay{700};

  explicit SlidingRetryBudget(RetryBudgetLimits limits) : limits_(limits) {}

  /// Another bound holds from now on; existing counts are kept.
  void SetLimits(RetryBudgetLimits limits) { limits_ = limits; }

  /// Sets the number of live gateways. An increase divides the slack further at once. A decrease
  /// takes effect only after a window: until then retries of departed gateways still count.
  void SetGateways(std::uint32_t gateways, TimePoint now);

  /// Records an incoming request for `service`.
  void RecordRequest(const ServiceId& service, TimePoint now);

  /// Reserves one retry, to be consumed when it is sent; nothing if the budget is exhausted.
  std::optional<RetryReservation> TryReserve(const ServiceId& service, TimePoint now,
                                             const RetryStanding& standing);

  /// Consumes one retry; returns false if the budget is exhausted.
  bool TryConsume(const ServiceId& service, TimePoint now, const RetryStanding& standing = {});

  /// Number of retries that are allowed now.
  double Available(const ServiceId& service, TimePoint now, const RetryStanding& standing = {});

  /// Number of gateways that share the slack at `now`: the maximum within the counted span.
  std::uint32_t Sharers(TimePoint now);

  /// Retries sent within this span may arrive in the same window as one sent now.
  std::chrono::milliseconds CountedSpan() const { return limits_.window + kMaxConnectDelay; }

 private:
  friend class RetryReservation;

  static constexpr std::size_t kSteps = 20;

  /// Counts in buckets of a twentieth of the window, including the current one, so over at most the
  /// window.
  class WindowCounter {
   public:
    void Add(std::int64_t step);
    double Sum(std::int64_t step);

   private:
    void Advance(std::int64_t step);

    /// Entry `step % kSteps` belongs to the newest step with that remainder.
    std::array<std::uint32_t, kSteps> counts_{};
    std::int64_t newest_ = 0;
  };

  struct Counters {
    WindowCounter requests;
    std::deque<TimePoint> retries;  ///< when each was sent; their number is limited by the budget
    std::uint32_t reserved = 0;
    double tokens = 0;  ///< of the bucket that limits retries without a record
  };

  struct GatewayCount {
    std::uint32_t count = 1;
    TimePoint since;  ///< when the last larger count ended
  };

  void Release(const ServiceId& service) { --counters_[service].reserved; }

  /// This gateway's part of the slack.
  double Share(TimePoint now);
  /// Most tokens of the bucket. At least one: in a large fleet every share would round down to
  /// none.
  double BucketSize(TimePoint now, const RetryStanding& standing);

  std::int64_t StepAt(TimePoint now) const;

  RetryBudgetLimits limits_;
  std::deque<GatewayCount> gateway_counts_;  ///< each smaller than the one before
  std::map<ServiceId, Counters> counters_;
};

}  // namespace ridgehold
