// Divides the engines among the prompts' first parts, by the tokens that each brings to caches.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "base/ids.h"

namespace ridgehold {

/// A segment of the hash ring [0, 1).
struct RingSegment {
  double begin = 0;
  double length = 1;
};

/// Prompts with the same beginning share their first part. If they were spread over all engines,
/// every engine would cache every first part, once for each isolated workspace. Therefore each
/// first part is assigned a ring segment of the engines, as long as its share of the tokens added
/// to caches. In a small fleet every gateway hears of all placed requests, so the segments computed
/// by different gateways differ little; for large fleets see SampledShares. Not thread-safe.
class PrefixShares {
 public:
  /// Interval at which counts are halved. Long enough for steady shares (a few hundred first parts
  /// at some hundred requests per second), short enough to follow daily load changes.
  static constexpr std::chrono::seconds kHalfLife{10};

  /// Records that a request with this first part added `tokens` to a cache.
  void Record(std::uint64_t first_part, double tokens, TimePoint now);

  /// The tokens recorded for a first part, and in total.
  double TokensOf(std::uint64_t first_part) const;
  double total() const { return total_; }

  /// The segment of a first part; its length is zero if the first part was never recorded.
  RingSegment SegmentOf(std::uint64_t first_part) const;

 private:
  void Decay();

  std::map<std::uint64_t, double> tokens_;  ///< by first part
  double total_ = 0;
  TimePoint decayed_at_{};
};

}  // namespace ridgehold
