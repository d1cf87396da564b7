// Whether the store can be relied on: whether calls fail, and whether it has just come back.

#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "base/ids.h"

namespace ridgehold {

/// Only calls that failed tell of an outage: a gateway that follows another one
/// makes none for long. Not thread-safe; time comes in as a value.
class StoreConnectivity {
 public:
  /// After failed calls for this long, registrations may have lapsed unheard.
  /// Shorter than the backend servers' three heartbeats of 1.2 s.
  static constexpr std::chrono::milliseconds kOutageThreshold{1'500};
  /// After the store's return, live backend servers register again within 2 s.
  static constexpr std::chrono::milliseconds kReregistrationTime{2'300};

  /// The store answered a call.
  void RecordSuccess(TimePoint now) {
    if (failing_since_ && now - *failing_since_ >= kOutageThreshold)
      ExtendGrace(now + kReregistrationTime);
    failing_since_.reset();
  }

  /// A call sent at `begun` had no answer, or was refused. Returns whether this
  /// is news.
  bool RecordFailure(TimePoint begun) {
    if (failing_since_) return false;
    failing_since_ = begun;
    return true;
  }

  /// The store is not asked for now; earlier faults say nothing of that time.
  void ResetFailures() { failing_since_.reset(); }

  /// The sender of a copy that was taken saw an outage, and registrations may
  /// come back until `settled`.
  void ExtendGrace(TimePoint settled) { settled_at_ = std::max(settled_at_, settled); }

  bool failing() const { return failing_since_.has_value(); }
  /// When the first of the calls that fail now was sent.
  std::optional<TimePoint> failing_since() const { return failing_since_; }

  /// How much longer registrations may come back after an outage that was seen.
  Duration RemainingGrace(TimePoint now) const {
    return std::max(Duration::zero(), std::chrono::duration_cast<Duration>(settled_at_ - now));
  }

  /// How much longer a missing registration says nothing. What is heard while
  /// the own calls fail is from others, who may not have seen the outage.
  Duration GraceForMissing(TimePoint now) const {
    return failing() ? Duration(kReregistrationTime) : RemainingGrace(now);
  }

 private:
  std::optional<TimePoint> failing_since_;
  TimePoint settled_at_{};
};

}  // namespace ridgehold
