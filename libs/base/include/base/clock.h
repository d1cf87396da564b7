// The clock of all decisions.

#pragma once

#include <chrono>
#include <ctime>

namespace ridgehold {

/// Never set back, and counts the time for which the machine is suspended. The standard
/// library's steady clock stands still then, on Linux: after ten seconds asleep an instance
/// took a lease for held and a key for current that others had long been given.
struct Clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;  // NOLINT: the standard's name for it

  static time_point now() noexcept {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
  }
};

}  // namespace ridgehold
