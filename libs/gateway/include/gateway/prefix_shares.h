// How the prompts' work divides by their first part: which engines keep which beginnings.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "base/ids.h"

namespace ridgehold {

/// A piece of the circle [0, 1).
struct RingSegment {
  double begin = 0;
  double length = 1;
};

/// Prompts that begin alike share their first part; were they spread over all
/// engines, every engine would keep every beginning, once for each isolated
/// workspace. So each beginning has a segment of the engines, as long as its
/// share of the tokens that caches take in. In a small fleet all gateways hear of
/// all placed requests, so their segments differ by little; in a large one see
/// SampledShares. Not thread-safe.
class PrefixShares {
 public:
  /// Counts are halved this often: long enough to be steady (a few hundred
  /// beginnings at some hundred requests a second), short enough to follow the day.
  static constexpr std::chrono::seconds kHalfLife{10};

  /// A request whose prompt begins with `first` brought `tokens` to a cache.
  void Record(std::uint64_t first_part, double tokens, TimePoint now);

  /// The tokens noted for a beginning, and for all.
  double TokensOf(std::uint64_t first_part) const;
  double total() const { return total_; }

  /// Beginnings that were never noted have a segment without length.
  RingSegment SegmentOf(std::uint64_t first_part) const;

 private:
  void Decay();

  std::map<std::uint64_t, double> tokens_;  ///< by first part
  double total_ = 0;
  TimePoint decayed_at_{};
};

}  // namespace ridgehold
