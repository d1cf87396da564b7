// When faults were at work.

#pragma once

#include <algorithm>
#include <memory>

#include "sleep.h"

namespace ridgehold::soak {

enum class FaultClass {
  kPlanned,  ///< an ordered stop and the restart after it
  kProcess,  ///< a kill, or a process that does not run
  kPath,     ///< an instance without a way to the engines; nothing comes late
  kHeld,     ///< something that was held up and comes late: a pause, a link
};

/// Knows since when no fault has been at work anywhere.
class Calm {
 public:
  /// A fault lasts as long as its token lives.
  using Token = std::shared_ptr<void>;

  Token Begin(FaultClass fault) {
    ++active_;
    if (fault != FaultClass::kPath) ++others_;
    if (fault != FaultClass::kPlanned) ++unplanned_;
    return {this, [fault](Calm* calm) { calm->End(fault); }};
  }

  /// Whether nothing has happened since `start`; planned restarts count if told so.
  bool QuietSince(TimePoint start, bool with_planned) const {
    if (with_planned && (active_ > 0 || last_end_ > start)) return false;
    return unplanned_ == 0 && last_unplanned_end_ <= start;
  }

  /// When the last fault ended; long ago if there has been none.
  TimePoint last_end() const { return last_end_; }
  bool active() const { return active_ > 0; }
  /// Whether no fault is at work but cuts of paths.
  bool only_paths() const { return others_ == 0; }
  /// When the last fault ended that was not a path's.
  TimePoint last_other_end() const { return last_other_end_; }
  /// When something that had been held up last went on.
  TimePoint last_thaw() const { return last_thaw_; }

 private:
  void End(FaultClass fault) {
    const TimePoint now = Clock::now();
    --active_;
    last_end_ = now;
    if (fault != FaultClass::kPath) {
      --others_;
      last_other_end_ = now;
    }
    if (fault == FaultClass::kHeld) last_thaw_ = now;
    if (fault == FaultClass::kPlanned) return;
    --unplanned_;
    last_unplanned_end_ = now;
  }

  int active_ = 0;
  int unplanned_ = 0;
  int others_ = 0;
  TimePoint last_other_end_{};
  TimePoint last_end_{};
  TimePoint last_unplanned_end_ = Clock::now();  // the start of all processes
  TimePoint last_thaw_{};
};

}  // namespace ridgehold::soak
