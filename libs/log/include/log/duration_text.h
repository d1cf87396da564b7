// Durations as log lines have them.

#pragma once

#include <chrono>
#include <string>

namespace ridgehold {

/// Whole milliseconds, rounded towards zero.
template <class Rep, class Period>
std::string MillisecondsText(std::chrono::duration<Rep, Period> duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace ridgehold
