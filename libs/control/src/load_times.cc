#include "control/load_times.h"

#include <algorithm>

namespace ridgehold {
namespace {

// Twice as many at once must not take nearly twice as long.
constexpr double kWorthwhile = 0.8;

}  // namespace

void LoadTimes::Note(std::uint32_t at_once, Duration took) {
  if (at_once == 0 || took <= Duration::zero()) return;
  Duration& shortest = shortest_.try_emplace(at_once, took).first->second;
  shortest = std::min(shortest, took);
}

std::uint32_t LoadTimes::MostUseful(std::uint32_t usual) const {
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
