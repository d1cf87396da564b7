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
  // On the first call the age of the processes is unknown; assume that none started recently.
  const TimePoint warming_until = gateways_.empty() ? TimePoint() : now + kWarmup;
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
    gateway.warming_until = warming_until;
    const Gateway* known = Find(member.address);
    if (known != nullptr && known->marked == member.key_revision) gateway = *known;
    gateways.push_back(std::move(gateway));
  }
  gateways_ = std::move(gateways);
}

TrackerMap::Priority TrackerMap::PriorityOf(const Gateway& gateway, std::uint64_t hash,
                                            const ZoneId& zone, TimePoint now) {
  return {gateway.unresponsive_until <= now, gateway.zone == zone, gateway.warming_until <= now,
          Rank(gateway.hash, hash)};
}

const TrackerMap::Gateway* TrackerMap::TrackerOf(std::uint64_t hash, const ZoneId& zone,
                                                 TimePoint now) const {
  const Gateway* best = nullptr;
  Priority best_priority;
  for (const Gateway& gateway : gateways_) {
    const Priority priority = PriorityOf(gateway, hash, zone, now);
    if (best != nullptr && priority <= best_priority) continue;
    best = &gateway;
    best_priority = priority;
  }
  return best;
}

std::vector<const TrackerMap::Gateway*> TrackerMap::TrackersOf(std::uint64_t hash,
                                                               const ZoneId& zone,
                                                               TimePoint now) const {
  std::vector<std::pair<Priority, const Gateway*>> best_ranked;
  for (const Gateway& gateway : gateways_) {
    Priority priority = PriorityOf(gateway, hash, zone, now);
    priority.warmed_up = true;
    best_ranked.emplace_back(priority, &gateway);
    std::ranges::sort(best_ranked, std::greater());
    if (best_ranked.size() > kTrackersPerBackend) best_ranked.pop_back();
  }
  std::vector<const Gateway*> trackers;
  trackers.reserve(best_ranked.size() + 1);
  for (const auto& [priority, gateway] : best_ranked) trackers.push_back(gateway);
  // If all of these started recently, another gateway is queried; it must be updated as well.
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
