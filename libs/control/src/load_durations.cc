#include "control/load_durations.h"

#include <algorithm>

namespace ridgehold {
namespace {

// Twice as many at once must not take nearly twice as long.
constexpr double kWorthwhile = 0.8;

}  // namespace

void LoadDurations::Record(std::uint32_t concurrency, Duration took) {
  if (concurrency == 0 || took <= Duration::zero()) return;
  Duration& shortest = shortest_.try_emplace(concurrency, took).first->second;
  shortest = std::min(shortest, took);
}

std::uint32_t LoadDurations::MaxUsefulConcurrency(std::uint32_t usual) const {
  constexpr std::uint32_t kBeyondKnown = 2;
  std::uint32_t useful = std::max(usual, 1U);
  if (shortest_.empty()) return kBeyondKnown * useful;
  const Duration alone = std::ranges::min_element(shortest_, {}, [](const auto& entry) {
                           return entry.second;
                         })->second;
  for (auto entry = shortest_.upper_bound(useful); entry != shortest_.end(); ++entry) {
    const double in_turns = static_cast<double>(entry->first) / std::max(usual, 1U);
    if (entry->second > kWorthwhile * in_turns * alone) return useful;
    useful = entry->first;
  }
  return kBeyondKnown * useful;
}

}  // namespace ridgehold
