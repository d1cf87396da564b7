// Lease validity as tracked by the lease holder's monotonic clock.

#pragma once

#include <algorithm>
#include <chrono>

#include "base/ids.h"

namespace ridgehold {

/// The platform starts a lease's time to live when it serves the call, which is never before
/// the call was started here, so counting from the start of the call is safe. A margin covers
/// clock drift. Not thread-safe.
class LeaseClock {
 public:
  /// The margin is the time to live divided by this.
  static constexpr int kMarginDivisor = 5;

  /// Records that a grant or keep-alive call started at `call_start` has succeeded.
  void Renew(TimePoint call_start, std::chrono::milliseconds ttl) {
    held_until_ = std::max(held_until_, call_start + ttl - ttl / kMarginDivisor);
  }

  /// Records that the lease was released or is known to have ended.
  void Drop() { held_until_ = {}; }

  /// Whether the lease is certainly held at `now`.
  bool MayAct(TimePoint now) const { return now < held_until_; }

 private:
  TimePoint held_until_{};
};

}  // namespace ridgehold
