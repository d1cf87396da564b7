#include "performance/weighted_rank.h"

#include <cmath>

namespace ridgehold {

std::uint64_t WeightedRank(std::uint64_t hash, double weight) {
  if (weight >= 1) return hash;
  if (weight <= 0) return 0;
  constexpr double kHashes = 18'446'744'073'709'551'616.0;  // 2^64
  // Hashes in the last 2,048 round to one, which is no valid rank.
  constexpr double kLargestFraction = 1 - 0x1p-53;
  double fraction = static_cast<double>(hash) / kHashes;
  // u^(1/weight) by squaring: the weights in use are powers of one half, and thousands of engines
  // are ranked for one request.
  for (; weight <= 0.5; weight *= 2) fraction *= fraction;
  if (weight < 1) fraction = std::pow(fraction, 1 / weight);
  return static_cast<std::uint64_t>(std::fmin(fraction, kLargestFraction) * kHashes);
}

}  // namespace ridgehold
