// Which daemons live, as heartbeats tell it.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "ridgehold.pb.h"

namespace ridgehold {

/// Another daemon.
struct Peer {
  DaemonId id;
  Incarnation incarnation;
  ZoneId zone;
  std::string address;
  Revision revision;
  bool leaving = false;
  bool relay = false;
  TimePoint last_heard{};
};

/// What is known of a zone's daemons.
struct ZoneView {
  ZoneId zone;
  std::uint32_t daemons = 0;
  Revision lowest;
  Revision highest;
  std::vector<std::string> behind;  ///< ids below `highest`
  Duration age{0};                  ///< how old the news is
};

/// Not thread-safe; time comes in as a value.
///
/// Daemons of one zone hear each other directly. One of them, the live one
/// with the lowest id, is the zone's relay: it talks to the other zones'
/// relays and to the platform. No agreement is needed: two relays at once
/// only cost some more messages.
class MembershipTable {
 public:
  /// A peer unheard for so many heartbeats counts as failed.
  static constexpr int kMissedHeartbeats = 4;
  static constexpr std::chrono::seconds kLearnedLife{60};
  /// A failed peer's incarnation is remembered so long, to know late messages.
  static constexpr std::chrono::minutes kPeerLife{10};

  MembershipTable(DaemonId self, ZoneId zone, std::chrono::milliseconds heartbeat);

  /// Takes a heartbeat; false when it comes from an earlier incarnation of its
  /// sender, or from this daemon itself.
  bool Take(const wire::Heartbeat& heartbeat, TimePoint now);

  /// Addresses from settings: spoken to whenever they are not heard.
  void AddSeeds(const std::vector<std::string>& addresses);

  /// Addresses from the platform or peers: spoken to until they are heard, or
  /// nobody has named them for kLearnedLife.
  void AddLearned(const std::vector<std::string>& addresses, TimePoint now);

  std::vector<Peer> LivePeers(TimePoint now) const;
  bool IsRelay(TimePoint now) const;

  /// Whom to send this heartbeat to: the own zone's peers; as a relay the
  /// other zones' relays; and now and then seeds that were never heard.
  std::vector<std::string> HeartbeatTargets(TimePoint now, std::uint64_t round) const;

  /// Whom to pass a change on to: the own zone and the relays.
  std::vector<std::string> ChangeTargets(TimePoint now) const;

  /// Fills in what this daemon says of zones and peers; addresses of peers
  /// only in some rounds.
  void Describe(TimePoint now, Revision own_revision, std::uint64_t round,
                wire::Heartbeat& heartbeat) const;

  /// One view a zone, the own one first.
  std::vector<ZoneView> Zones(TimePoint now, Revision own_revision) const;

  /// Backend servers that the zone's peers know to be leaving.
  std::set<BackendId> MarkedBackends(TimePoint now) const;

 private:
  struct RemoteZone {
    wire::ZoneSummary summary;
    TimePoint heard{};
  };
  struct Marks {
    std::set<BackendId> backends;
    TimePoint heard{};
  };

  void DropOld(TimePoint now);
  void AddAddresses(TimePoint now, wire::Heartbeat& heartbeat) const;
  void TakeZones(const wire::Heartbeat& heartbeat, const Peer& sender, TimePoint now);
  bool IsLive(const Peer& peer, TimePoint now) const;
  wire::ZoneSummary OwnZone(TimePoint now, Revision own_revision) const;

  DaemonId self_;
  ZoneId zone_;
  std::chrono::milliseconds heartbeat_;
  std::map<DaemonId, Peer> peers_;
  std::set<std::string> seeds_;
  std::map<std::string, TimePoint> learned_;  // when each was last named
  std::map<ZoneId, RemoteZone> remote_zones_;
  std::map<DaemonId, Marks> marks_;
};

}  // namespace ridgehold
