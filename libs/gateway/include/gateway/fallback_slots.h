// Fallback for requests to a rate-limited backend server while no quota holder can be reached.

#pragma once

#include <chrono>
#include <cstdint>

#include "base/ids.h"
#include "gateway/gateway_gossip.h"
#include "quota/request_rate.h"

namespace ridgehold {

/// For each slot of one second, each gateway decides by a hash whether it may send one request.
/// This needs no messages: all gateways together use a fraction of the limit on average, and unused
/// slots expire, so that no burst accumulates.
class FallbackSlots {
 public:
  static constexpr std::chrono::seconds kSlotLength{1};
  /// Fraction of the limit available to all gateways together. Peers in another partition may still
  /// be granted the whole limit.
  static constexpr double kLimitFraction = 0.125;

  struct Candidate {
    BackendHash backend = 0;
    std::uint64_t gateway = 0;   ///< unique for each gateway
    std::uint32_t gateways = 1;  ///< number of gateways that share the limit
    RequestRate limit;
  };

  static std::int64_t SlotAt(TimePoint now) { return now.time_since_epoch() / kSlotLength; }
  /// Start of the slot after the one at `now`.
  static TimePoint NextSlot(TimePoint now) { return TimePoint(kSlotLength * (SlotAt(now) + 1)); }

  static bool IsSelected(const Candidate& candidate, std::int64_t slot);
};

}  // namespace ridgehold
