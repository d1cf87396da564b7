// Requests that backend servers have recently completed without a crash.

#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

#include "base/ids.h"
#include "gateway/request_fingerprint.h"

namespace ridgehold {

/// A request that many clients send is running at several servers when a zone fails, and would be
/// taken for the cause: with a tenth of all requests being such copies, one in sixteen of them was
/// rejected. A gateway that has recently seen the request succeed prevents this. Not thread-safe;
/// the caller supplies the time.
class RecentSuccesses {
 public:
  /// Retention period. For this long a request is still trusted after it begins to crash servers,
  /// for example because of new weights or a new release.
  static constexpr std::chrono::milliseconds kRetention{10'000};
  /// More than a gateway serves within kRetention, at about 10 requests/s in a large fleet and 100
  /// in a small one.
  static constexpr std::size_t kMaxEntries = 10'000;

  void Add(RequestFingerprint request, TimePoint now) {
    while (!order_.empty() &&
           (order_.size() >= kMaxEntries || now - order_.front().second >= kRetention)) {
      const auto found = latest_.find(order_.front().first);
      if (found != latest_.end() && found->second == order_.front().second) latest_.erase(found);
      order_.pop_front();
    }
    latest_[request] = now;
    order_.emplace_back(request, now);
  }

  bool Contains(RequestFingerprint request, TimePoint now) const {
    const auto found = latest_.find(request);
    return found != latest_.end() && now - found->second < kRetention;
  }

 private:
  std::unordered_map<RequestFingerprint, TimePoint> latest_;
  std::deque<std::pair<RequestFingerprint, TimePoint>> order_;
};

}  // namespace ridgehold
