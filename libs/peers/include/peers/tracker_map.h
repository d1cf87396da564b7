// Which gateway tracks which backend server in a large fleet.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "control/instance_records.h"
#include "net/beast.h"

namespace ridgehold {

/// Rendezvous hashing among the gateways of the same availability zone: without
/// a message, all gateways find the same one, each has as many, and one that goes
/// leaves what it had to all others. Not thread-safe; time comes in as a value.
class TrackerMap {
 public:
  /// Questions in a row without an answer until the next in rank takes over: a
  /// single datagram may be lost, or a gateway stand still on a capped core.
  static constexpr int kMissesUntilSilent = 2;
  /// For so long; a process that was killed is back within a second.
  static constexpr std::chrono::milliseconds kSilence{1'000};
  /// A process that started less than this ago has not seen what caches hold: an
  /// engine's memory turns over in some 2 to 10 s. Until then the next is asked,
  /// who was told all the while.
  static constexpr std::chrono::seconds kYouth{10};
  /// So many are told of what a backend server gets, so that one may die.
  static constexpr std::size_t kTold = 2;

  /// A gateway that may track.
  struct Gateway {
    std::string address;  ///< without a port
    net::ip::address ip;  ///< the same
    ZoneId zone;
    std::uint64_t hash = 0;
    StoreRevision marked;
    TimePoint young_until{};
    int misses = 0;
    TimePoint silent_until{};
  };

  /// All gateways, this one included. Those whose address cannot be read are
  /// left out.
  void SetGateways(const std::vector<Member>& members, TimePoint now);

  std::size_t size() const { return gateways_.size(); }

  /// The one to ask about what `hash` stands for, which is in `zone`; null only if
  /// there is none. Silent and young ones come last.
  const Gateway* TrackerOf(std::uint64_t hash, const ZoneId& zone, TimePoint now) const;

  /// Those to tell, young ones like all others; kTold at most.
  std::vector<const Gateway*> TrackersOf(std::uint64_t hash, const ZoneId& zone,
                                         TimePoint now) const;

  /// Null if it is not among them.
  const Gateway* Find(const std::string& address) const;

  /// It has not answered in time.
  void NoteMiss(const std::string& address, TimePoint now);
  void NoteHeard(const std::string& address);

 private:
  /// Where a gateway comes in the order of those that track; the highest first.
  struct Place {
    bool answers = false;
    bool in_zone = false;
    bool grown = false;
    std::uint64_t rank = 0;

    auto operator<=>(const Place&) const = default;
  };

  static Place PlaceOf(const Gateway& gateway, std::uint64_t hash, const ZoneId& zone,
                       TimePoint now);
  Gateway* FindOwn(const std::string& address);

  std::vector<Gateway> gateways_;
};

}  // namespace ridgehold
