// Estimates how many requests a fragile backend server has room for.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "base/ids.h"
#include "rejection/rejection_limit.h"

namespace ridgehold {

/// What a gateway tells its peers after a rejection.
struct RoomUpdate {
  RejectionLimit limit;
  std::uint32_t room = 0;  ///< requests of all gateways together
  std::chrono::milliseconds blocked_left{0};

  bool operator==(const RoomUpdate&) const = default;
};

/// Requests of all gateways at one backend server are kept below its room, which is reduced by a
/// fraction after a rejection and grows slowly. After a rejection all gateways pause for a part of
/// a second, since requests that are already on their way may be rejected as well. Not thread-safe;
/// takes the current time as a parameter.
class RoomEstimate {
 public:
  /// Records a rejection while `running` requests of all gateways were at the server.
  void RecordRejection(RejectionLimit limit, std::uint32_t running, TimePoint now);

  /// Applies the update of another gateway.
  void Apply(const RoomUpdate& update, TimePoint now);

  /// The update to send to peers; nothing if there was no rejection recently.
  std::optional<RoomUpdate> ToUpdate(TimePoint now) const;

  /// Whether the server, where `running` requests of all gateways are, may get another one.
  bool MayTake(std::uint32_t running, std::uint32_t slots, TimePoint now) const;

  /// No request is sent before this time; in the past if there is no pause.
  TimePoint blocked_until() const { return blocked_until_; }
  /// Length of a pause after a rejection.
  std::chrono::milliseconds pause() const;

 private:
  /// `room_` with its growth until `now`.
  std::optional<std::uint32_t> RoomAt(TimePoint now) const;
  void Reduce(std::uint32_t room, TimePoint now);

  std::optional<std::uint32_t> room_;  ///< as of `reduced_at_`; empty: no rejection so far
  RejectionLimit limit_;
  TimePoint reduced_at_{};
  TimePoint blocked_until_{};
};

}  // namespace ridgehold
