// When an instance may apply for a free duty.

#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>

#include "base/ids.h"

namespace ridgehold {

/// Instances apply one after the other: were all to apply at once, each but one would
/// spend three calls to the store in vain. After the last turn all may, should those
/// before be cut off. Not thread-safe; time comes in as a value.
class DutyTurn {
 public:
  /// `length` is more than taking a duty takes.
  DutyTurn(Duration length, std::size_t turns) : length_(length), turns_(turns) {}

  /// `free` says whether nobody has the duty as far as is known now, `before` how many
  /// instances apply before this one.
  bool MayApply(bool free, std::size_t before, TimePoint now) {
    if (!free) {
      free_since_.reset();
      return false;
    }
    if (!free_since_) free_since_ = now;
    return now - *free_since_ >= length_ * static_cast<int>(std::min(before, turns_));
  }

 private:
  Duration length_;
  std::size_t turns_;
  std::optional<TimePoint> free_since_;
};

}  // namespace ridgehold
