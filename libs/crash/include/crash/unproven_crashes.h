// Interrupted requests whose backend servers may have crashed, until this is known.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "base/ids.h"

namespace ridgehold {

/// A backend server that terminates interrupts its requests before it refuses connections, so that
/// a request that is sent again at once may crash several servers before the first crash is proved.
/// Not thread-safe; the caller supplies the time.
class UnprovenCrashes {
 public:
  /// Maximum time between the interruption and the first refused connection; 120 ms were measured
  /// on a busy machine.
  static constexpr std::chrono::milliseconds kProofTime{150};
  /// Maximum number of remembered interruptions; the oldest are evicted.
  static constexpr std::size_t kMaxInterruptions = 10'000;

  /// Records an interruption. Returns whether it is new: other gateways may report it repeatedly.
  bool Add(BackendHash backend, RequestFingerprint request, TimePoint now);

  /// Records that the backend server is known to have crashed, also before its interruption of the
  /// request is reported.
  void MarkProved(BackendHash backend, RequestFingerprint request, TimePoint now);

  /// The backend servers that may have crashed while running the request.
  std::vector<BackendHash> SuspectsOf(RequestFingerprint request, TimePoint now) const;

  /// Whether the request must not be sent yet: together with the suspects, one more crash would be
  /// the last that is allowed. `crashes_left`: crashes until the request is quarantined, at
  /// least 1.
  bool AwaitsProof(RequestFingerprint request, std::uint32_t crashes_left, TimePoint now) const;

 private:
  /// Longer than reports of an interruption are repeated.
  static constexpr std::chrono::milliseconds kRetention{1'000};

  struct Interruption {
    BackendHash backend = 0;
    TimePoint at{};
    bool proved = false;
  };
  struct Key {
    RequestFingerprint request;
    BackendHash backend = 0;
    TimePoint at{};
  };

  Interruption* Find(BackendHash backend, RequestFingerprint request);
  void Insert(RequestFingerprint request, Interruption interruption);
  void Expire(TimePoint now);

  std::unordered_map<RequestFingerprint, std::vector<Interruption>> interruptions_;
  std::deque<Key> order_;  ///< by time
};

}  // namespace ridgehold
