// How an accept loop continues after accept has failed.

#pragma once

#include <chrono>
#include <cstdint>

#include "base/ids.h"

namespace ridgehold {

/// While descriptors or memory are short, accept fails at once on each call: a loop without a pause
/// takes a whole core, and a log line for each failure fills the disk. Takes time as a value.
class AcceptBackoff {
 public:
  static constexpr std::chrono::milliseconds kMinPause{50};
  static constexpr std::chrono::milliseconds kMaxPause{1'000};
  static constexpr std::chrono::milliseconds kLogInterval{1'000};

  enum class Fault : std::uint8_t {
    kClient,   ///< the client closed the connection before it was accepted
    kShortage  ///< descriptors or memory are short, or the cause is unknown
  };

  struct Decision {
    /// Wait before the next call of accept; zero: none.
    std::chrono::milliseconds pause{0};
    /// Number of failures since the last line, to log now; 0: no line is due.
    std::uint64_t failures_to_log = 0;
  };

  Decision OnFailure(Fault fault, TimePoint now);
  void OnSuccess() { pause_ = kMinPause; }

 private:
  std::chrono::milliseconds pause_ = kMinPause;
  std::uint64_t unlogged_ = 0;
  TimePoint log_again_at_{};
};

}  // namespace ridgehold
