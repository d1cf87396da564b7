// Estimates the shares of the prompts' first parts in a large fleet from samples of many gateways.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "base/ids.h"
#include "gateway/prefix_shares.h"

namespace ridgehold {

/// In a fleet of hundreds, each gateway sees a few requests per second, too few to estimate the
/// shares of first parts (PrefixShares), and segments that differ between gateways would place one
/// prompt on several engines. Therefore each answer to a load query contains what the answering
/// gateway has seen of the prompt's first part; a hundred answers carry as much information as one
/// second of the whole fleet's traffic. Not thread-safe; the caller passes in the time.
class SampledShares {
 public:
  /// Interval at which samples are halved: long enough for steady shares, short enough to follow
  /// daily load changes.
  static constexpr std::chrono::seconds kHalfLife{5};

  /// Records that a gateway has seen requests add `total` tokens to caches, `tokens` of them with
  /// this first part.
  void Record(std::uint64_t first_part, double tokens, double total, TimePoint now);

  /// The ring segment of a first part; the whole ring if nothing is known of it.
  RingSegment SegmentOf(std::uint64_t first_part) const;

 private:
  struct Sample {
    double tokens = 0;
    double total = 0;

    double share() const { return total > 0 ? tokens / total : 0; }
  };

  void Decay();

  std::map<std::uint64_t, Sample> samples_;  ///< by first part
  TimePoint decayed_at_{};
};

}  // namespace ridgehold
