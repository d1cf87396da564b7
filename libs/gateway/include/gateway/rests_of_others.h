// Rests that a backend server has asked of other gateways.

#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

#include "base/ids.h"

namespace ridgehold {

/// A rest is asked of one gateway, and some servers turn one away and serve all others. One
/// that has asked two of them turns away all: told of that, a large fleet tries it twice,
/// and not once for each gateway. Not thread-safe; time comes in as a value.
class RestsOfOthers {
 public:
  void Note(std::uint64_t gateway, TimePoint until) {
    auto known = std::ranges::find(rests_, gateway, &Rest::gateway);
    if (known == rests_.end()) known = std::ranges::min_element(rests_, {}, &Rest::until);
    if (until > known->until) *known = {gateway, until};
  }

  /// While two rests last at least; long past if there were never two.
  TimePoint TwoUntil() const { return std::min(rests_[0].until, rests_[1].until); }

  void Clear() { rests_ = {}; }

 private:
  struct Rest {
    std::uint64_t gateway = 0;  ///< 0: none
    TimePoint until{};
  };

  std::array<Rest, 2> rests_;  ///< the last to end
};

}  // namespace ridgehold
