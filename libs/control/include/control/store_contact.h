// Whether the store can be relied on: when it last answered, and whether it has just come back.

#pragma once

#include <chrono>
#include <utility>

#include "base/ids.h"

namespace ridgehold {

/// Not thread-safe; time comes in as a value.
class StoreContact {
 public:
  /// Without an answer for this long, registrations may have lapsed unheard.
  /// Shorter than the backend servers' three heartbeats of 1.2 s.
  static constexpr std::chrono::milliseconds kAwayAfter{1'500};
  /// After the store's return, live backend servers register again within 2 s.
  static constexpr std::chrono::milliseconds kSettleTime{2'300};

  /// The store answered a call.
  void NoteAnswer(TimePoint now) {
    if (failing_ && now - last_answer_ >= kAwayAfter) returned_at_ = now;
    failing_ = false;
    last_answer_ = now;
  }

  /// A call had no answer, or was refused. Returns whether this is news.
  bool NoteFault() { return !std::exchange(failing_, true); }

  bool failing() const { return failing_; }
  TimePoint last_answer() const { return last_answer_; }

  /// How much longer a missing registration says nothing.
  Duration GraceForMissing(TimePoint now) const {
    const auto settled = returned_at_ + kSettleTime;
    if (now >= settled) return Duration::zero();
    return std::chrono::duration_cast<Duration>(settled - now);
  }

 private:
  bool failing_ = false;
  TimePoint last_answer_{};
  TimePoint returned_at_{Clock::duration::min() / 2};
};

}  // namespace ridgehold
