#include "membership/membership_table.h"

#include <algorithm>

namespace ridgehold {
namespace {

constexpr int kKnownAddresses = 8;
constexpr int kMostBehind = 16;
constexpr std::uint64_t kSeedEveryRounds = 5;
// Addresses are most of a heartbeat's bytes, and joining is rare.
constexpr std::uint64_t kAddressesEveryRounds = 5;
// A relay's news of other zones counts a little longer than a heartbeat.
constexpr int kZoneNewsHeartbeats = 10;

}  // namespace

MembershipTable::MembershipTable(DaemonId self, ZoneId zone, std::chrono::milliseconds heartbeat)
    : self_(std::move(self)), zone_(std::move(zone)), heartbeat_(heartbeat) {}

bool MembershipTable::Take(const wire::Heartbeat& heartbeat, TimePoint now) {
  const DaemonId id(heartbeat.daemon());
  if (id == self_ || id.value().empty()) return false;
  Peer& peer = peers_[id];
  // Incarnations begin with the start time in fixed width, so they sort.
  if (heartbeat.incarnation() < peer.incarnation.value()) return false;
  peer.id = id;
  peer.incarnation = Incarnation(heartbeat.incarnation());
  peer.zone = ZoneId(heartbeat.zone());
  peer.address = heartbeat.address();
  peer.revision = Revision(heartbeat.revision());
  peer.leaving = heartbeat.leaving();
  peer.relay = heartbeat.relay();
  peer.last_heard = now;
  if (peer.zone == zone_) {
    AddLearned({heartbeat.known_addresses().begin(), heartbeat.known_addresses().end()}, now);
  }
  TakeZones(heartbeat, peer, now);
  Marks marks{{}, now};
  for (const wire::BackendMark& mark : heartbeat.marks()) {
    marks.backends.insert(BackendId(mark.backend()));
  }
  marks_[id] = std::move(marks);
  DropOld(now);
  return true;
}

void MembershipTable::DropOld(TimePoint now) {
  std::erase_if(learned_, [&](const auto& entry) { return now - entry.second > kLearnedLife; });
  std::erase_if(peers_,
                [&](const auto& entry) { return now - entry.second.last_heard > kPeerLife; });
  std::erase_if(marks_, [&](const auto& entry) { return now - entry.second.heard > kPeerLife; });
}

void MembershipTable::TakeZones(const wire::Heartbeat& heartbeat, const Peer& sender,
                                TimePoint now) {
  // News of a zone counts from that zone's relay, or passed on by the own
  // zone's relay; from anyone else old news could go round for ever.
  const bool from_own_relay = sender.zone == zone_ && sender.relay && !IsRelay(now);
  for (const wire::ZoneSummary& summary : heartbeat.zones()) {
    const ZoneId zone(summary.zone());
    if (zone == zone_) continue;
    if (zone == sender.zone || from_own_relay) remote_zones_[zone] = {summary, now};
  }
}

void MembershipTable::AddSeeds(const std::vector<std::string>& addresses) {
  seeds_.insert(addresses.begin(), addresses.end());
}

void MembershipTable::AddLearned(const std::vector<std::string>& addresses, TimePoint now) {
  for (const std::string& address : addresses) learned_[address] = now;
}

bool MembershipTable::IsLive(const Peer& peer, TimePoint now) const {
  return now - peer.last_heard <= kMissedHeartbeats * heartbeat_;
}

std::vector<Peer> MembershipTable::LivePeers(TimePoint now) const {
  std::vector<Peer> live;
  for (const auto& [id, peer] : peers_) {
    if (IsLive(peer, now)) live.push_back(peer);
  }
  return live;
}

bool MembershipTable::IsRelay(TimePoint now) const {
  return std::ranges::none_of(peers_, [&](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.zone == zone_ && !peer.leaving && peer.id < self_ && IsLive(peer, now);
  });
}

std::vector<std::string> MembershipTable::HeartbeatTargets(TimePoint now,
                                                           std::uint64_t round) const {
  std::set<std::string> targets;
  std::set<std::string> heard;
  const bool relay = IsRelay(now);
  for (const Peer& peer : LivePeers(now)) {
    heard.insert(peer.address);
    if (peer.zone == zone_ || (relay && peer.relay)) targets.insert(peer.address);
  }
  if (round % kSeedEveryRounds == 0) {
    std::set<std::string> known = seeds_;
    for (const auto& [address, named] : learned_) known.insert(address);
    std::ranges::set_difference(known, heard, std::inserter(targets, targets.end()));
  }
  return {targets.begin(), targets.end()};
}

std::vector<std::string> MembershipTable::ChangeTargets(TimePoint now) const {
  std::vector<std::string> targets;
  for (const Peer& peer : LivePeers(now)) {
    if (peer.zone == zone_ || peer.relay) targets.push_back(peer.address);
  }
  return targets;
}

wire::ZoneSummary MembershipTable::OwnZone(TimePoint now, Revision own_revision) const {
  std::vector<Peer> zone_peers = LivePeers(now);
  std::erase_if(zone_peers, [&](const Peer& peer) { return peer.zone != zone_; });
  Revision lowest = own_revision;
  Revision highest = own_revision;
  for (const Peer& peer : zone_peers) {
    lowest = std::min(lowest, peer.revision);
    highest = std::max(highest, peer.revision);
  }
  wire::ZoneSummary summary;
  summary.set_zone(zone_.value());
  summary.set_daemons(static_cast<std::uint32_t>(zone_peers.size()) + 1);
  summary.set_lowest_revision(lowest.value());
  summary.set_highest_revision(highest.value());
  if (own_revision < highest) summary.add_behind(self_.value());
  for (const Peer& peer : zone_peers) {
    if (peer.revision < highest && summary.behind_size() < kMostBehind) {
      summary.add_behind(peer.id.value());
    }
  }
  return summary;
}

void MembershipTable::Describe(TimePoint now, Revision own_revision, std::uint64_t round,
                               wire::Heartbeat& heartbeat) const {
  const bool relay = IsRelay(now);
  heartbeat.set_relay(relay);
  if (round % kAddressesEveryRounds == 0) AddAddresses(now, heartbeat);
  if (!relay) return;
  *heartbeat.add_zones() = OwnZone(now, own_revision);
  for (const auto& [zone, remote] : remote_zones_) {
    if (now - remote.heard <= kZoneNewsHeartbeats * heartbeat_) {
      *heartbeat.add_zones() = remote.summary;
    }
  }
}

void MembershipTable::AddAddresses(TimePoint now, wire::Heartbeat& heartbeat) const {
  for (const Peer& peer : LivePeers(now)) {
    if (heartbeat.known_addresses_size() == kKnownAddresses) return;
    if (peer.zone == zone_) heartbeat.add_known_addresses(peer.address);
  }
}

std::vector<ZoneView> MembershipTable::Zones(TimePoint now, Revision own_revision) const {
  const auto to_view = [](const wire::ZoneSummary& summary, Duration age) {
    return ZoneView{ZoneId(summary.zone()),
                    summary.daemons(),
                    Revision(summary.lowest_revision()),
                    Revision(summary.highest_revision()),
                    {summary.behind().begin(), summary.behind().end()},
                    age};
  };
  std::vector<ZoneView> zones = {to_view(OwnZone(now, own_revision), Duration{0})};
  for (const auto& [zone, remote] : remote_zones_) {
    zones.push_back(
        to_view(remote.summary, std::chrono::duration_cast<Duration>(now - remote.heard)));
  }
  return zones;
}

std::set<BackendId> MembershipTable::MarkedBackends(TimePoint now) const {
  std::set<BackendId> all;
  for (const auto& [id, marks] : marks_) {
    if (now - marks.heard > kMissedHeartbeats * heartbeat_) continue;
    all.insert(marks.backends.begin(), marks.backends.end());
  }
  return all;
}

}  // namespace ridgehold
