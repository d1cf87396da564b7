// How long the holder of a lease may act on it, by its own monotonic clock.

#pragma once

#include <algorithm>
#include <chrono>

#include "base/ids.h"

namespace ridgehold {

/// The platform counts a lease from when it served the call, which is at or
/// after the moment the call was begun here; so counting from that moment is
/// safe. A margin covers clocks that run at different speeds. Not thread-safe.
class LeaseClock {
 public:
  /// Part of the time to live that is not used.
  static constexpr int kMarginDivisor = 5;

  /// A grant or keep-alive begun at `begun` has succeeded.
  void Renew(TimePoint begun, std::chrono::milliseconds ttl) {
    held_until_ = std::max(held_until_, begun + ttl - ttl / kMarginDivisor);
  }

  /// The lease is given up, or known to have ended.
  void Drop() { held_until_ = {}; }

  /// Whether the lease is certainly held at `now`.
  bool MayAct(TimePoint now) const { return now < held_until_; }

 private:
  TimePoint held_until_{};
};

}  // namespace ridgehold
