// Which requests broke off at which backend server, in case that is found to have ended.

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

/// That a request broke off says little: connections break, and servers fail single
/// answers. It counts once the backend server is found to have ended, which may be
/// known before or after. Not thread-safe; time comes in as a value.
class BrokenAttempts {
 public:
  /// Break and end belong together within so long: a registration lapses after three
  /// heartbeats, 3.6 s, where nothing tells of the end sooner.
  static constexpr std::chrono::milliseconds kSameCause{5'000};
  /// Attempts that are remembered; a backend server runs at most some hundred.
  static constexpr std::size_t kMost = 20'000;

  /// Returns whether the backend server is known to have ended just now.
  bool Note(BackendHash backend, RequestFingerprint request, TimePoint now);

  /// The backend server has ended; returns what broke off there.
  std::vector<RequestFingerprint> End(BackendHash backend, TimePoint now);

  bool HasEnded(BackendHash backend) const { return ended_.contains(backend); }
  std::size_t size() const { return broken_.size(); }

 private:
  struct Broken {
    BackendHash backend = 0;
    RequestFingerprint request;
    TimePoint at{};
  };

  void Expire(TimePoint now);

  std::deque<Broken> broken_;  ///< in the order of time
  std::unordered_map<BackendHash, TimePoint> ended_;
};

}  // namespace ridgehold
