// Gateways that keep the origin of a stream.

#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "resumption/stream_origin.h"

namespace ridgehold {

/// Number of gateways that are told of a stream, besides the one that began it.
inline constexpr std::size_t kOriginKeepers = 5;
/// Number of gateways that are asked for an origin. More than the keepers, since members come and
/// go; in a fleet of eight, all.
inline constexpr std::size_t kAskedForOrigin = 7;

/// Returns the `count` gateways with the highest rendezvous hashes for `attempt`, the highest
/// first.
std::vector<std::string> RankKeepers(AttemptHash attempt, std::span<const std::string> gateways,
                                     std::size_t count);

}  // namespace ridgehold
