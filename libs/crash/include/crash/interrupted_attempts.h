// Recently interrupted requests for each backend server, to attribute a crash to them.

#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"

namespace ridgehold {

/// An interrupted request alone is no evidence: connections break, and servers fail single
/// responses. It counts once the backend server is found to have terminated, which may be detected
/// before or after the interruption. Not thread-safe; the caller supplies the time.
template <class Request = RequestFingerprint>
class InterruptedAttempts {
 public:
  /// Maximum time between an interruption and the crash that caused it: unless detected earlier, a
  /// crash is noticed when the registration expires after three heartbeats, 3.6 s.
  static constexpr std::chrono::milliseconds kMatchWindow{5'000};
  /// Maximum number of remembered attempts; a backend server runs a few hundred at most.
  static constexpr std::size_t kMaxAttempts = 20'000;

  /// Records an interrupted request. Returns whether the backend server is known to have crashed
  /// recently.
  bool Record(BackendHash backend, Request request, TimePoint now) {
    Expire(now);
    if (HasCrashed(backend)) return true;
    if (attempts_.size() >= kMaxAttempts) attempts_.pop_front();
    attempts_.push_back({backend, std::move(request), now});
    return false;
  }

  /// Records a crash of the backend server and returns the requests interrupted there.
  std::vector<Request> RecordCrash(BackendHash backend, TimePoint now) {
    Expire(now);
    std::vector<Request> interrupted;
    if (!crashed_at_.emplace(backend, now).second) return interrupted;
    std::erase_if(attempts_, [&](Interruption& interruption) {
      if (interruption.backend != backend) return false;
      interrupted.push_back(std::move(interruption.request));
      return true;
    });
    return interrupted;
  }

  bool HasCrashed(BackendHash backend) const { return crashed_at_.contains(backend); }
  std::size_t size() const { return attempts_.size(); }

 private:
  struct Interruption {
    BackendHash backend = 0;
    Request request;
    TimePoint at{};
  };

  void Expire(TimePoint now) {
    while (!attempts_.empty() && now - attempts_.front().at >= kMatchWindow) attempts_.pop_front();
    std::erase_if(crashed_at_,
                  [&](const auto& entry) { return now - entry.second >= kMatchWindow; });
  }

  std::deque<Interruption> attempts_;  ///< ordered by time
  std::unordered_map<BackendHash, TimePoint> crashed_at_;
};

}  // namespace ridgehold
