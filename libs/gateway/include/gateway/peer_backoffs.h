// Back-offs that a backend server has requested from other gateways.

#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

#include "base/ids.h"

namespace ridgehold {

/// A back-off is requested from one gateway, and some servers reject one gateway but serve all
/// others. A server that has asked two gateways is assumed to reject all: with this information a
/// large fleet tries it twice instead of once for each gateway. Not thread-safe; the caller
/// supplies the time.
class PeerBackoffs {
 public:
  void Note(std::uint64_t gateway, TimePoint until) {
    auto known = std::ranges::find(rests_, gateway, &Rest::gateway);
    if (known == rests_.end()) known = std::ranges::min_element(rests_, {}, &Rest::until);
    if (until > known->until) *known = {gateway, until};
  }

  /// Until when at least two back-offs are in effect; the epoch if there were never two.
  TimePoint TwoUntil() const { return std::min(rests_[0].until, rests_[1].until); }

  void Clear() { rests_ = {}; }

 private:
  struct Rest {
    std::uint64_t gateway = 0;  ///< 0: unused
    TimePoint until{};
  };

  std::array<Rest, 2> rests_;  ///< the two that end last
};

}  // namespace ridgehold
