// Staggers the instances that apply for a free lease.

#pragma once

#include <bit>
#include <cstddef>
#include <optional>

#include "base/ids.h"

namespace ridgehold {

/// Instances apply one after the other, by rank: if all applied at once, each but one would waste
/// three calls to the store. Above the maximum rank they apply in groups that double in size, in
/// case the instances of lower rank are partitioned off: a thousand are through after ten groups,
/// and while the store is slow most of them never begin. Not thread-safe; the caller passes the
/// time in.
class ElectionStagger {
 public:
  /// `stagger` is the delay from one rank to the next, longer than acquiring the lease takes.
  ElectionStagger(Duration stagger, std::size_t max_rank)
      : stagger_(stagger), max_rank_(max_rank) {}

  /// Returns whether an instance may apply at `now`. `vacant` tells whether the lease has no known
  /// holder, `rank` is the number of instances that apply earlier.
  bool MayCampaign(bool vacant, std::size_t rank, TimePoint now) {
    if (!vacant) {
      vacant_since_.reset();
      return false;
    }
    if (!vacant_since_) vacant_since_ = now;
    return now - *vacant_since_ >= stagger_ * static_cast<int>(TurnOf(rank));
  }

 private:
  std::size_t TurnOf(std::size_t rank) const {
    return rank <= max_rank_ ? rank : max_rank_ + std::bit_width(rank - max_rank_);
  }

  Duration stagger_;
  std::size_t max_rank_;
  std::optional<TimePoint> vacant_since_;
};

}  // namespace ridgehold
