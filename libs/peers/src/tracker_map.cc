#include "peers/tracker_map.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace ridgehold {
namespace {

std::uint64_t Rank(std::uint64_t gateway, std::uint64_t tracked) {
  return XXH3_64bits_withSeed(&gateway, sizeof gateway, tracked);
}

}  // namespace

void TrackerMap::SetGateways(const std::vector<Member>& members) {
  std::vector<Gateway> gateways;
  for (const Member& member : members) {
    ErrorCode error;
    Gateway gateway;
    gateway.ip = net::ip::make_address(member.address, error);
    if (error) continue;
    gateway.address = member.address;
    gateway.zone = member.zone;
    gateway.hash = XXH3_64bits(member.address.data(), member.address.size());
    if (const Gateway* known = Find(member.address)) {
      gateway.misses = known->misses;
      gateway.silent_until = known->silent_until;
    }
    gateways.push_back(std::move(gateway));
  }
  gateways_ = std::move(gateways);
}

const TrackerMap::Gateway* TrackerMap::TrackerOf(std::uint64_t hash, const ZoneId& zone,
                                                 TimePoint now) const {
  const Gateway* best = nullptr;
  std::tuple<bool, bool, std::uint64_t> best_place;
  for (const Gateway& gateway : gateways_) {
    const std::tuple place(gateway.silent_until <= now, gateway.zone == zone,
                           Rank(gateway.hash, hash));
    if (best != nullptr && place <= best_place) continue;
    best = &gateway;
    best_place = place;
  }
  return best;
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
