// Remembers the requests that were refused on arrival, and when each may be sent again.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

#include "base/ids.h"

namespace ridgehold {

/// The delay after which a refused request should be sent again: the forecast wait less two
/// objectives, at least a quarter objective, and up to half more by the request's hash, so that
/// requests refused at the same moment do not return together.
std::chrono::milliseconds RetryAfterForecast(Duration forecast, Duration objective,
                                             std::uint64_t request_hash);

/// A request that returns too early is refused again, so that an immediate retry gains nothing.
/// Not thread-safe; the caller passes in the time.
class ArrivalRefusals {
 public:
  /// When the table is full, the oldest refusal is evicted.
  static constexpr std::size_t kMaxRefusals = 10'000;

  void Record(std::uint64_t fingerprint, std::chrono::milliseconds retry_after, TimePoint now);

  /// The rest of the delay of a request that was refused; nothing if there is none.
  std::optional<std::chrono::milliseconds> TimeLeft(std::uint64_t fingerprint, TimePoint now) const;

  std::size_t size() const { return until_.size(); }

 private:
  std::unordered_map<std::uint64_t, TimePoint> until_;
  std::deque<std::pair<TimePoint, std::uint64_t>> order_;  ///< ends and fingerprints, as recorded
};

}  // namespace ridgehold
