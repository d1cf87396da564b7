#include "peers/tracker_map.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace ridgehold {
namespace {

std::uint64_t Rank(std::uint64_t gateway, std::uint64_t tracked) {
  return XXH3_64bits_withSeed(&gateway, sizeof gateway, tracked);
}

}  // namespace

void TrackerMap::SetGateways(const std::vector<Member>& members, TimePoint now) {
  // Of those that are there at the first look nothing is known.
  const TimePoint young_until = gateways_.empty() ? TimePoint() : now + kYouth;
  std::vector<Gateway> gateways;
  for (const Member& member : members) {
    ErrorCode error;
    Gateway gateway;
    gateway.ip = net::ip::make_address(member.address, error);
    if (error) continue;
    gateway.address = member.address;
    gateway.zone = member.zone;
    gateway.hash = XXH3_64bits(member.address.data(), member.address.size());
    gateway.marked = member.key_revision;
    gateway.young_until = young_until;
    const Gateway* known = Find(member.address);
    if (known != nullptr && known->marked == member.key_revision) gateway = *known;
    gateways.push_back(std::move(gateway));
  }
  gateways_ = std::move(gateways);
}

TrackerMap::Place TrackerMap::PlaceOf(const Gateway& gateway, std::uint64_t hash,
                                      const ZoneId& zone, TimePoint now) {
  return {gateway.silent_until <= now, gateway.zone == zone, gateway.young_until <= now,
          Rank(gateway.hash, hash)};
}

const TrackerMap::Gateway* TrackerMap::TrackerOf(std::uint64_t hash, const ZoneId& zone,
                                                 TimePoint now) const {
  const Gateway* best = nullptr;
  Place best_place;
  for (const Gateway& gateway : gateways_) {
    const Place place = PlaceOf(gateway, hash, zone, now);
    if (best != nullptr && place <= best_place) continue;
    best = &gateway;
    best_place = place;
  }
  return best;
}

std::vector<const TrackerMap::Gateway*> TrackerMap::TrackersOf(std::uint64_t hash,
                                                               const ZoneId& zone,
                                                               TimePoint now) const {
  std::vector<std::pair<Place, const Gateway*>> first;
  for (const Gateway& gateway : gateways_) {
    Place place = PlaceOf(gateway, hash, zone, now);
    place.grown = true;
    first.emplace_back(place, &gateway);
    std::ranges::sort(first, std::greater());
    if (first.size() > kTold) first.pop_back();
  }
  std::vector<const Gateway*> trackers;
  trackers.reserve(first.size() + 1);
  for (const auto& [place, gateway] : first) trackers.push_back(gateway);
  // With both of them young, whoever is asked instead has to be told, too.
  const Gateway* asked = TrackerOf(hash, zone, now);
  if (asked != nullptr && std::ranges::find(trackers, asked) == trackers.end()) {
    trackers.push_back(asked);
  }
  return trackers;
}

const TrackerMap::Gateway* TrackerMap::Find(const std::string& address) const {
  const auto found = std::ranges::find(gateways_, address, &Gateway::address);
  return found == gateways_.end() ? nullptr : &*found;
}

TrackerMap::Gateway* TrackerMap::FindOwn(const std::string& address) {
  return const_cast<Gateway*>(Find(address));
}

void TrackerMap::NoteMiss(const std::string& address, TimePoint now) {
  Gateway* gateway = FindOwn(address);
  if (gateway == nullptr || ++gateway->misses < kMissesUntilSilent) return;
  // One more miss is enough when its time is over.
  gateway->misses = kMissesUntilSilent - 1;
  gateway->silent_until = now + kSilence;
}

void TrackerMap::NoteHeard(const std::string& address) {
  Gateway* gateway = FindOwn(address);
  if (gateway == nullptr) return;
  gateway->misses = 0;
  gateway->silent_until = {};
}

}  // namespace ridgehold
