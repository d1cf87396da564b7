#include "resumption/origin_keepers.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

namespace ridgehold {

std::vector<std::string> RankKeepers(AttemptHash attempt, std::span<const std::string> gateways,
                                     std::size_t count) {
  std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
  ranked.reserve(gateways.size());
  for (const std::string& gateway : gateways) {
    ranked.emplace_back(XXH3_64bits_withSeed(gateway.data(), gateway.size(), attempt.value()),
                        &gateway);
  }
  const auto kept = static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
  std::ranges::partial_sort(ranked, ranked.begin() + kept, std::greater());
  std::vector<std::string> keepers;
  for (std::ptrdiff_t i = 0; i < kept; ++i) {
    keepers.push_back(*ranked[static_cast<std::size_t>(i)].second);
  }
  return keepers;
}

}  // namespace ridgehold
