#include "gateway/fallback_slots.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>

namespace ridgehold {

bool FallbackSlots::IsDrawn(const Draw& draw, std::int64_t turn) {
  const std::array<std::uint64_t, 3> what = {draw.backend, draw.gateway,
                                             static_cast<std::uint64_t>(turn)};
  constexpr double kHashes = 18'446'744'073'709'551'616.0;  // 2^64
  const double point = static_cast<double>(XXH3_64bits(what.data(), sizeof what)) / kHashes;
  const double turn_s = std::chrono::duration<double>(kTurn).count();
  const double each =
      kPart * draw.limit.per_second() * turn_s / std::max<std::uint32_t>(1, draw.gateways);
  return point < each;
}

}  // namespace ridgehold
