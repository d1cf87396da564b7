// Requests that backend servers have survived just now.

#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

#include "base/ids.h"
#include "gateway/request_fingerprint.h"

namespace ridgehold {

/// What many callers send is at several servers when a zone is lost, and would be taken
/// for the cause: of a tenth of all requests, one in sixteen was refused. One gateway that
/// has just seen it served knows better. Not thread-safe; time comes in as a value.
class RecentSurvivors {
 public:
  /// A request that ends servers from now on, since their weights or their release are
  /// new, is believed in for so long still.
  static constexpr std::chrono::milliseconds kRecent{10'000};
  /// More than a gateway serves in that time, some 10 a second in a large fleet and 100
  /// in a small one.
  static constexpr std::size_t kMost = 10'000;

  void Add(RequestFingerprint request, TimePoint now) {
    while (!order_.empty() && (order_.size() >= kMost || now - order_.front().second >= kRecent)) {
      const auto found = latest_.find(order_.front().first);
      if (found != latest_.end() && found->second == order_.front().second) latest_.erase(found);
      order_.pop_front();
    }
    latest_[request] = now;
    order_.emplace_back(request, now);
  }

  bool Contains(RequestFingerprint request, TimePoint now) const {
    const auto found = latest_.find(request);
    return found != latest_.end() && now - found->second < kRecent;
  }

 private:
  std::unordered_map<RequestFingerprint, TimePoint> latest_;
  std::deque<std::pair<RequestFingerprint, TimePoint>> order_;
};

}  // namespace ridgehold
