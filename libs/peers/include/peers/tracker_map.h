// Maps backend servers to the gateways that track them, in a large fleet.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "control/instance_records.h"
#include "net/beast.h"

namespace ridgehold {

/// Rendezvous hashing among the gateways of the same availability zone: all gateways compute the
/// same tracker without communication, the load is spread evenly, and the backend servers of a
/// gateway that leaves are spread over all others. Not thread-safe; time is passed in.
class TrackerMap {
 public:
  /// Consecutive unanswered queries until the gateway next in rank takes over. One is not enough: a
  /// datagram may be lost, or a gateway be throttled at its CPU limit.
  static constexpr int kMaxMisses = 2;
  /// How long an unresponsive gateway is skipped; a killed process restarts within a second.
  static constexpr std::chrono::milliseconds kUnresponsiveCooldown{1'000};
  /// A process that started less than this ago does not know the contents of the engines' caches,
  /// which turn over within 2 to 10 s. Until then the gateway next in rank, which has received all
  /// updates, is queried.
  static constexpr std::chrono::seconds kWarmup{10};
  /// Gateways that receive the updates about a backend server, so that one of them may fail.
  static constexpr std::size_t kTrackersPerBackend = 2;

  /// A gateway that may be a tracker.
  struct Gateway {
    std::string address;  ///< without a port
    net::ip::address ip;  ///< parsed from `address`
    ZoneId zone;
    std::uint64_t hash = 0;
    StoreRevision marked;
    TimePoint warming_until{};
    int misses = 0;
    TimePoint unresponsive_until{};
  };

  /// Sets all gateways, including this one. Members with an invalid address are skipped.
  void SetGateways(const std::vector<Member>& members, TimePoint now);

  std::size_t size() const { return gateways_.size(); }

  /// Returns the gateway to query about `hash`, which is in `zone`; null only if there are no
  /// gateways. Unresponsive and recently started ones are ranked last.
  const Gateway* TrackerOf(std::uint64_t hash, const ZoneId& zone, TimePoint now) const;

  /// Returns the gateways that receive updates: the kTrackersPerBackend highest-ranked ones,
  /// whether or not they started recently, and the result of TrackerOf() if it is not among them.
  std::vector<const Gateway*> TrackersOf(std::uint64_t hash, const ZoneId& zone,
                                         TimePoint now) const;

  /// Returns null if the gateway is unknown.
  const Gateway* Find(const std::string& address) const;

  /// Records that the gateway did not answer in time.
  void RecordMiss(const std::string& address, TimePoint now);
  void RecordAnswer(const std::string& address);

 private:
  /// Rank of a gateway as tracker; the highest is chosen.
  struct Priority {
    bool responsive = false;
    bool in_zone = false;
    bool warmed_up = false;
    std::uint64_t rank = 0;

    auto operator<=>(const Priority&) const = default;
  };

  using Ranked = std::pair<Priority, const Gateway*>;
  enum class Warmup : std::uint8_t { kConsidered, kIgnored };

  static Priority PriorityOf(const Gateway& gateway, std::uint64_t hash, const ZoneId& zone,
                             TimePoint now);
  /// Returns the `count` gateways of the highest priority, in descending order.
  std::vector<Ranked> Best(std::size_t count, std::uint64_t hash, const ZoneId& zone, TimePoint now,
                           Warmup warmup) const;
  Gateway* FindMutable(const std::string& address);

  std::vector<Gateway> gateways_;
  std::unordered_map<std::string, std::size_t> by_address_;  ///< indexes into `gateways_`
  std::map<ZoneId, std::vector<std::size_t>> by_zone_;       ///< indexes into `gateways_`
};

}  // namespace ridgehold
