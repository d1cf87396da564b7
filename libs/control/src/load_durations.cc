#include "control/load_durations.h"

#include <algorithm>

namespace ridgehold {
namespace {

// Concurrent loads are worthwhile if they take at most this fraction of the time that the same
// loads take one batch after another.
constexpr double kMaxTimeRatio = 0.8;

}  // namespace

void LoadDurations::Record(std::uint32_t concurrency, Duration duration) {
  if (concurrency == 0 || duration <= Duration::zero()) return;
  Duration& shortest = shortest_.try_emplace(concurrency, duration).first->second;
  shortest = std::min(shortest, duration);
}

std::uint32_t LoadDurations::MaxUsefulConcurrency(std::uint32_t default_concurrency) const {
  constexpr std::uint32_t kExtrapolationFactor = 2;
  std::uint32_t useful = std::max(default_concurrency, 1U);
  if (shortest_.empty()) return kExtrapolationFactor * useful;
  const Duration fastest = std::ranges::min_element(shortest_, {}, [](const auto& entry) {
                             return entry.second;
                           })->second;
  for (auto entry = shortest_.upper_bound(useful); entry != shortest_.end(); ++entry) {
    const double batches = static_cast<double>(entry->first) / std::max(default_concurrency, 1U);
    if (entry->second > kMaxTimeRatio * batches * fastest) return useful;
    useful = entry->first;
  }
  return kExtrapolationFactor * useful;
}

}  // namespace ridgehold
