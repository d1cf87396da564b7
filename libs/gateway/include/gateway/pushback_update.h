// Pushback of backend servers as gateways exchange it.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "gateway/gateway_gossip.h"
#include "quota/request_rate.h"
#include "rejection/room_estimate.h"

namespace ridgehold {

/// Latest pushback of one backend server. A gateway that learns of a change increments `number`, so
/// that receivers can discard stale updates.
struct PushbackUpdate {
  BackendHash backend = 0;
  std::uint64_t number = 0;
  std::optional<RequestRate> limit;  ///< empty: no limit applies
  bool leaving = false;
  /// Remaining back-off that the server requested from the sender of this update; empty: none.
  std::optional<std::chrono::milliseconds> backoff_left{};
  std::optional<RoomUpdate> room{};  ///< after a recent rejection by a fragile server

  bool operator==(const PushbackUpdate&) const = default;
};

/// Updates about several backend servers.
struct PushbackUpdateList {
  std::vector<PushbackUpdate> items;

  bool empty() const { return items.empty(); }
};

}  // namespace ridgehold
