// The monotonic clock for timeouts, leases and other time-based decisions.

#pragma once

#include <chrono>
#include <ctime>

namespace ridgehold {

/// A monotonic clock that also counts time while the machine is suspended. On Linux
/// std::chrono::steady_clock stops during suspension: after being suspended for ten seconds an
/// instance treated a lease as held and a key as current although others had acquired both.
struct Clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;  // NOLINT: name required by the Clock concept

  static time_point now() noexcept {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
  }
};

}  // namespace ridgehold
