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
  void Record(std::uint64_t gateway, TimePoint until) {
    auto known = std::ranges::find(backoffs_, gateway, &Backoff::gateway);
    if (known == backoffs_.end()) known = std::ranges::min_element(backoffs_, {}, &Backoff::until);
    if (until > known->until) *known = {gateway, until};
  }

  /// Until when at least two back-offs are in effect; the epoch if there were never two.
  TimePoint BothUntil() const { return std::min(backoffs_[0].until, backoffs_[1].until); }

  void Clear() { backoffs_ = {}; }

 private:
  struct Backoff {
    std::uint64_t gateway = 0;  ///< 0: unused
    TimePoint until{};
  };

  std::array<Backoff, 2> backoffs_;  ///< the two that end last
};

}  // namespace ridgehold
