// Tracks outages of the store, and the time that backend servers need to register again after one.

#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "base/ids.h"

namespace ridgehold {

/// An outage is inferred only from failed calls, since an instance that follows a peer makes no
/// calls for long periods. Not thread-safe; takes the current time as a parameter.
class StoreConnectivity {
 public:
  /// After calls have failed for this long, registrations may have expired unnoticed. Shorter than
  /// three heartbeats of a backend server, 1.2 s each.
  static constexpr std::chrono::milliseconds kMinOutage{1'500};
  /// Time after an outage in which missing registrations may come back: live backend servers
  /// register again within 2 s.
  static constexpr std::chrono::milliseconds kGracePeriod{2'300};

  /// Records an answer from the store. If it ends an outage, the grace period starts.
  void RecordSuccess(TimePoint now) {
    if (failing_since_ && now - *failing_since_ >= kMinOutage) ExtendGrace(now + kGracePeriod);
    failing_since_.reset();
  }

  /// Records that a call sent at `sent_at` had no answer or was refused. Returns true if it is the
  /// first failure in a row.
  bool RecordFailure(TimePoint sent_at) {
    if (failing_since_) return false;
    failing_since_ = sent_at;
    return true;
  }

  /// Clears the failures when the store is no longer called: they say nothing about the time
  /// without calls.
  void ResetFailures() { failing_since_.reset(); }

  /// Extends the grace period to `grace_end`, since a peer whose copy was applied observed an
  /// outage.
  void ExtendGrace(TimePoint grace_end) { grace_end_ = std::max(grace_end_, grace_end); }

  bool failing() const { return failing_since_.has_value(); }
  /// When the first call of the current run of failures was sent.
  std::optional<TimePoint> failing_since() const { return failing_since_; }

  /// Time left in which registrations may come back after an observed outage.
  Duration RemainingGrace(TimePoint now) const {
    return std::max(Duration::zero(), std::chrono::duration_cast<Duration>(grace_end_ - now));
  }

  /// Time for which a backend server with a missing registration stays in use. While this
  /// instance's calls fail, updates come from peers that may not have observed the outage, so the
  /// full grace period applies.
  Duration GraceForMissing(TimePoint now) const {
    return failing() ? Duration(kGracePeriod) : RemainingGrace(now);
  }

 private:
  std::optional<TimePoint> failing_since_;
  TimePoint grace_end_{};
};

}  // namespace ridgehold
