// One gateway's share of the retries that all gateways together may send to a service.

#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>

#include "base/ids.h"

namespace ridgehold {

/// The bound on retries: in any window at most `ratio` x requests + `slack`,
/// over all gateways.
struct RetryBound {
  double ratio = 0.1;
  double slack = 5;
  std::chrono::milliseconds window{10'000};
};

/// Counts a service's requests and retries over the last window. A retry is
/// allowed while the window in which it arrives stays within this gateway's
/// share: its part of the slack, and `ratio` of its own requests. So a burst may
/// use what the last window's requests have earned. Where a count is not exact
/// it errs to fewer retries: requests over less than the window, retries over
/// more. Not thread-safe; time comes in as a value.
class RetryAllowance {
 public:
  /// Part of the bound that is used; the rest covers gateways that are not known.
  static constexpr double kUsedPart = 0.8;

  /// A retry arrives at most so long after it was allowed: connecting lies
  /// between, see ConnectionPool::Options::connect_limit.
  static constexpr std::chrono::milliseconds kLongestWay{700};

  explicit RetryAllowance(RetryBound bound) : bound_(bound) {}

  /// Another bound holds from now on; what was counted stays.
  void SetBound(RetryBound bound) { bound_ = bound; }

  /// `gateways` are alive. More share the slack at once; fewer only when a window
  /// has passed: until then retries of those that are gone count, and leases that
  /// lapse while the store is away end no gateway.
  void SetGateways(std::uint32_t gateways, TimePoint now);

  /// A request for `service` came in.
  void Earn(const ServiceId& service, TimePoint now);

  /// Returns whether one more arrival beyond a request's first is allowed, and
  /// counts it.
  bool Spend(const ServiceId& service, TimePoint now);

  /// How many more arrivals are allowed now.
  double Left(const ServiceId& service, TimePoint now);

 private:
  static constexpr std::size_t kSteps = 20;

  /// Counts by steps of a twentieth of the window, the current one included, so
  /// over at most the window.
  class WindowCounter {
   public:
    void Add(std::int64_t step);
    double Sum(std::int64_t step);

   private:
    void Advance(std::int64_t step);

    /// Entry `step % kSteps` is of the newest step with that rest.
    std::array<std::uint32_t, kSteps> counts_{};
    std::int64_t newest_ = 0;
  };

  struct Counters {
    WindowCounter requests;
    std::deque<TimePoint> retries;  ///< when each was allowed; few, by the bound
  };

  struct GatewayCount {
    std::uint32_t count = 1;
    TimePoint since;  ///< when the last larger count ended
  };

  /// The most gateways at any moment of the counted span that ends now.
  std::uint32_t MostGateways(TimePoint now);

  std::int64_t StepAt(TimePoint now) const;

  /// Retries that were allowed within it may share a window with one allowed now.
  std::chrono::milliseconds CountedSpan() const { return bound_.window + kLongestWay; }

  RetryBound bound_;
  std::deque<GatewayCount> gateway_counts_;  ///< each smaller than the one before
  std::map<ServiceId, Counters> counters_;
};

}  // namespace ridgehold
