#include "rejection/pause_turn.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace ridgehold {
namespace {

// A rejection is known to all gateways after a response and a datagram, within a few milliseconds.
constexpr std::chrono::milliseconds kSpacing{10};

}  // namespace

Duration TurnAfterPause(std::uint64_t gateway, BackendHash backend, std::uint32_t gateways,
                        std::chrono::milliseconds pause) {
  const auto spread = std::min<Duration>(gateways * kSpacing, pause / 2);
  const std::uint64_t hash = XXH3_64bits_withSeed(&backend, sizeof backend, gateway);
  return Duration(hash %
                  static_cast<std::uint64_t>(std::max<Duration>(spread, Duration(1)).count()));
}

}  // namespace ridgehold
