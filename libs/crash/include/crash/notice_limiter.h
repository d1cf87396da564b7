// Limits the rate of notices that gateways send to all others.

#pragma once

#include <cstdint>

#include "base/ids.h"

namespace ridgehold {

/// A token bucket for one of several equal shares of a rate. Not thread-safe; the caller supplies
/// the time.
class NoticeLimiter {
 public:
  struct Options {
    /// Notices per second of all gateways together. Each is sent three times, in about 70 bytes.
    double fleet_rate = 30;
    /// Notices that one gateway may send at once.
    double burst = 4;
  };

  explicit NoticeLimiter(Options options) : options_(options), available_(options.burst) {}

  /// Whether one of `gateways` gateways may send a notice now.
  bool TryTake(std::uint32_t gateways, TimePoint now);

 private:
  Options options_;
  double available_;
  TimePoint refilled_at_{};
};

}  // namespace ridgehold
