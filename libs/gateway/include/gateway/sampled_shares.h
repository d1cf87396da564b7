// The shares of prompts' beginnings in a large fleet, from samples of many gateways.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "base/ids.h"
#include "gateway/prefix_shares.h"

namespace ridgehold {

/// A gateway of hundreds sees a few requests a second, far too few to tell the
/// beginnings' shares (PrefixShares), and segments that differ between gateways
/// would put a prompt on several engines. So each answer to a question tells what
/// the answering gateway has seen of the prompt's beginning: a hundred answers are
/// as good as the fleet's whole traffic of a second. Not thread-safe; time comes
/// in as a value.
class SampledShares {
 public:
  /// Samples are halved this often: enough of them to be steady, and fresh enough
  /// to follow the day.
  static constexpr std::chrono::seconds kHalfLife{5};

  /// A gateway has seen requests bring `total` tokens to caches, `tokens` of them
  /// with this beginning.
  void Record(std::uint64_t first_part, double tokens, double total, TimePoint now);

  /// Its segment of the circle; the whole circle while nothing is known of it.
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
