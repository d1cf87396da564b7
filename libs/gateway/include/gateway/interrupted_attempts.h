// Recently interrupted requests for each backend server, to attribute a crash to them.

#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "gateway/gateway_gossip.h"
#include "gateway/request_fingerprint.h"

namespace ridgehold {

/// An interrupted request alone is no evidence: connections break, and servers fail single
/// responses. It counts once the backend server is found to have terminated, which may be detected
/// before or after the interruption. Not thread-safe; the caller supplies the time.
class InterruptedAttempts {
 public:
  /// Maximum time between an interruption and the crash that caused it: unless detected earlier, a
  /// crash is noticed when the registration expires after three heartbeats, 3.6 s.
  static constexpr std::chrono::milliseconds kMatchWindow{5'000};
  /// Maximum number of remembered attempts; a backend server runs a few hundred at most.
  static constexpr std::size_t kMaxAttempts = 20'000;

  /// Records an interrupted request. Returns whether the backend server is known to have crashed
  /// recently.
  bool Record(BackendHash backend, RequestFingerprint request, TimePoint now);

  /// Records a crash of the backend server and returns the requests interrupted there.
  std::vector<RequestFingerprint> RecordCrash(BackendHash backend, TimePoint now);

  bool HasCrashed(BackendHash backend) const { return crashed_at_.contains(backend); }
  std::size_t size() const { return attempts_.size(); }

 private:
  struct Interruption {
    BackendHash backend = 0;
    RequestFingerprint request;
    TimePoint at{};
  };

  void Expire(TimePoint now);

  std::deque<Interruption> attempts_;  ///< ordered by time
  std::unordered_map<BackendHash, TimePoint> crashed_at_;
};

}  // namespace ridgehold
