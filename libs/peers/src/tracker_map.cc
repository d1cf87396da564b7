#include "peers/tracker_map.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace ridgehold {
namespace {

std::uint64_t Rank(std::uint64_t gateway, std::uint64_t tracked) {
  return XXH3_64bits_withSeed(&gateway, sizeof gateway, tracked);
}

}  // namespace

void TrackerMap::SetGateways(const std::vector<Member>& members, TimePoint now) {
  // On the first call the age of the processes is unknown; assume that none started recently.
  const TimePoint warming_until = gateways_.empty() ? TimePoint() : now + kWarmup;
  std::vector<Gateway> gateways;
  gateways.reserve(members.size());
  for (const Member& member : members) {
    const Gateway* known = Find(member.address);
    if (known != nullptr && known->marked == member.key_revision && known->zone == member.zone) {
      gateways.push_back(*known);
      continue;
    }
    ErrorCode error;
    Gateway gateway;
    gateway.ip = net::ip::make_address(member.address, error);
    if (error) continue;
    gateway.address = member.address;
    gateway.zone = member.zone;
    gateway.hash = XXH3_64bits(member.address.data(), member.address.size());
    gateway.marked = member.key_revision;
    gateway.warming_until = warming_until;
    gateways.push_back(std::move(gateway));
  }
  gateways_ = std::move(gateways);
  by_address_.clear();
  by_zone_.clear();
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    by_address_.emplace(gateways_[i].address, i);
    by_zone_[gateways_[i].zone].push_back(i);
  }
}

TrackerMap::Priority TrackerMap::PriorityOf(const Gateway& gateway, std::uint64_t hash,
                                            const ZoneId& zone, TimePoint now) {
  return {gateway.unresponsive_until <= now, gateway.zone == zone, gateway.warming_until <= now,
          Rank(gateway.hash, hash)};
}

std::vector<TrackerMap::Ranked> TrackerMap::Best(std::size_t count, std::uint64_t hash,
                                                 const ZoneId& zone, TimePoint now,
                                                 Warmup warmup) const {
  std::vector<Ranked> best;
  const auto consider = [&](const Gateway& gateway) {
    Priority priority = PriorityOf(gateway, hash, zone, now);
    if (warmup == Warmup::kIgnored) priority.warmed_up = true;
    if (best.size() == count && priority <= best.back().first) return;
    const auto at =
        std::ranges::find_if(best, [&](const Ranked& other) { return priority > other.first; });
    best.insert(at, {priority, &gateway});
    if (best.size() > count) best.pop_back();
  };
  // A responsive gateway of the zone outranks all others.
  const auto in_zone = by_zone_.find(zone);
  if (in_zone != by_zone_.end()) {
    for (const std::size_t i : in_zone->second) consider(gateways_[i]);
    if (best.size() == count && best.back().first.responsive) return best;
    best.clear();
  }
  for (const Gateway& gateway : gateways_) consider(gateway);
  return best;
}

const TrackerMap::Gateway* TrackerMap::TrackerOf(std::uint64_t hash, const ZoneId& zone,
                                                 TimePoint now) const {
  const std::vector<Ranked> best = Best(1, hash, zone, now, Warmup::kConsidered);
  return best.empty() ? nullptr : best.front().second;
}

std::vector<const TrackerMap::Gateway*> TrackerMap::TrackersOf(std::uint64_t hash,
                                                               const ZoneId& zone,
                                                               TimePoint now) const {
  std::vector<const Gateway*> trackers;
  for (const auto& [priority, gateway] :
       Best(kTrackersPerBackend, hash, zone, now, Warmup::kIgnored)) {
    trackers.push_back(gateway);
  }
  // If all of these started recently, another gateway is queried; it must be updated as well.
  const Gateway* asked = TrackerOf(hash, zone, now);
  if (asked != nullptr && std::ranges::find(trackers, asked) == trackers.end()) {
    trackers.push_back(asked);
  }
  return trackers;
}

const TrackerMap::Gateway* TrackerMap::Find(const std::string& address) const {
  const auto found = by_address_.find(address);
  return found == by_address_.end() ? nullptr : &gateways_[found->second];
}

TrackerMap::Gateway* TrackerMap::FindMutable(const std::string& address) {
  return const_cast<Gateway*>(Find(address));
}

void TrackerMap::RecordMiss(const std::string& address, TimePoint now) {
  Gateway* gateway = FindMutable(address);
  if (gateway == nullptr || ++gateway->misses < kMaxMisses) return;
  // After the cool-down a single miss is enough.
  gateway->misses = kMaxMisses - 1;
  gateway->unresponsive_until = now + kUnresponsiveCooldown;
}

void TrackerMap::RecordAnswer(const std::string& address) {
  Gateway* gateway = FindMutable(address);
  if (gateway == nullptr) return;
  gateway->misses = 0;
  gateway->unresponsive_until = {};
}

}  // namespace ridgehold
