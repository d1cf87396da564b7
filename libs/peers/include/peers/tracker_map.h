// Which gateway tracks which backend server in a large fleet.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "control/own_records.h"
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

  /// A gateway that may track.
  struct Gateway {
    std::string address;  ///< without a port
    net::ip::address ip;  ///< the same
    ZoneId zone;
    std::uint64_t hash = 0;
    int misses = 0;
    TimePoint silent_until{};
  };

  /// All gateways, this one included. Those whose address cannot be read are
  /// left out.
  void SetGateways(const std::vector<Member>& members);

  std::size_t size() const { return gateways_.size(); }

  /// The one that tracks what `hash` stands for, which is in `zone`; null only if
  /// there is none. Silent ones come last.
  const Gateway* TrackerOf(std::uint64_t hash, const ZoneId& zone, TimePoint now) const;

  /// Null if it is not among them.
  const Gateway* Find(const std::string& address) const;

  /// It has not answered in time.
  void NoteMiss(const std::string& address, TimePoint now);
  void NoteHeard(const std::string& address);

 private:
  Gateway* FindOwn(const std::string& address);

  std::vector<Gateway> gateways_;
};

}  // namespace ridgehold
