// Formats durations for log lines.

#pragma once

#include <chrono>
#include <string>

namespace ridgehold {

/// Returns `duration` in whole milliseconds, rounded towards zero, without a unit.
template <class Rep, class Period>
std::string MillisecondsText(std::chrono::duration<Rep, Period> duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace ridgehold
