#include "gateway/fallback_slots.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>

namespace ridgehold {

bool FallbackSlots::IsSelected(const Candidate& candidate, std::int64_t slot) {
  const std::array<std::uint64_t, 3> key = {candidate.backend, candidate.gateway,
                                            static_cast<std::uint64_t>(slot)};
  constexpr double kHashRange = 18'446'744'073'709'551'616.0;  // 2^64
  const double point = static_cast<double>(XXH3_64bits(key.data(), sizeof key)) / kHashRange;
  const double slot_s = std::chrono::duration<double>(kSlotLength).count();
  const double probability = kLimitFraction * candidate.limit.per_second() * slot_s /
                             std::max<std::uint32_t>(1, candidate.gateways);
  return point < probability;
}

}  // namespace ridgehold
