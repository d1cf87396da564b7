// Requests to a backend server with a limit while nobody can be asked who counts them.

#pragma once

#include <chrono>
#include <cstdint>

#include "base/ids.h"
#include "gateway/gateway_gossip.h"
#include "quota/request_rate.h"

namespace ridgehold {

/// Each gateway draws, for each second by itself, whether it may send one request. No
/// message is needed: all gateways together get a part of the limit on average, and what
/// is not used in its second is lost, so that nothing adds up.
class UncountedTurns {
 public:
  static constexpr std::chrono::seconds kTurn{1};
  /// Of the limit, for all gateways together. The others may be cut off from this one and
  /// go on being granted the whole of it.
  static constexpr double kPart = 0.125;

  struct Draw {
    BackendHash backend = 0;
    std::uint64_t gateway = 0;   ///< differs by gateway
    std::uint32_t gateways = 1;  ///< that draw
    RequestRate limit;
  };

  static std::int64_t TurnAt(TimePoint now) { return now.time_since_epoch() / kTurn; }
  /// When the turn after that at `now` begins.
  static TimePoint NextTurn(TimePoint now) { return TimePoint(kTurn * (TurnAt(now) + 1)); }

  static bool IsDrawn(const Draw& draw, std::int64_t turn);
};

}  // namespace ridgehold
