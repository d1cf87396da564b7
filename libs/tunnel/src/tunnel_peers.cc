#include "tunnel/tunnel_peers.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace ridgehold {

void TunnelPeers::SetPeers(std::vector<TunnelPeer> peers) {
  peers_ = std::move(peers);
  std::erase_if(states_, [this](const auto& state) {
    return std::ranges::find(peers_, state.first, &TunnelPeer::address) == peers_.end();
  });
}

std::vector<TunnelPeer> TunnelPeers::Choose(const TunnelTarget& target, std::size_t count,
                                            TimePoint now) {
  if (IsDown(target.backend, now)) return {};
  using Rank = std::tuple<std::size_t, std::uint64_t, const TunnelPeer*>;
  std::vector<Rank> ranks;
  ++seed_;
  for (const TunnelPeer& peer : peers_) {
    if (!IsAvailable(peer, now) || CannotReach(peer, target.backend, now)) continue;
    const std::uint64_t hash =
        XXH3_64bits_withSeed(peer.address.data(), peer.address.size(), seed_);
    ranks.emplace_back(RegionCrossings(peer, target), hash, &peer);
  }
  const std::size_t size = std::min(count, ranks.size());
  std::ranges::partial_sort(ranks, ranks.begin() + static_cast<std::ptrdiff_t>(size));
  std::vector<TunnelPeer> chosen;
  for (std::size_t i = 0; i < size; ++i) chosen.push_back(*std::get<const TunnelPeer*>(ranks[i]));
  return chosen;
}

void TunnelPeers::Record(const std::string& peer, const BackendId& backend, TunnelResult result,
                         TimePoint now) {
  State& state = states_[peer];
  switch (result) {
    case TunnelResult::kOpen:
      state = {};
      break;
    case TunnelResult::kRefused:
    case TunnelResult::kUnreachable:
      RecordUnreachable(state, backend, now);
      break;
    case TunnelResult::kUnknownBackend:
    case TunnelResult::kLeaving:
      state.unreachable_until[backend] = now + options_.pair_backoff;
      break;
    case TunnelResult::kFull:
      state.backoff_until = now + options_.full_backoff;
      break;
    case TunnelResult::kIsolated:
    case TunnelResult::kStopping:
    case TunnelResult::kPeerFailed:
      state.backoff_until = now + options_.peer_backoff;
      break;
  }
}

void TunnelPeers::RecordUnreachable(State& state, const BackendId& backend, TimePoint now) {
  std::erase_if(state.unreachable_until, [&](const auto& entry) { return entry.second <= now; });
  state.unreachable_until[backend] = now + options_.pair_backoff;
  if (state.unreachable_until.size() < options_.isolated_after) return;
  state.backoff_until = now + options_.peer_backoff;
}

bool TunnelPeers::AnyAvailable(TimePoint now) const {
  return std::ranges::any_of(peers_,
                             [&](const TunnelPeer& peer) { return IsAvailable(peer, now); });
}

std::size_t TunnelPeers::RegionCrossings(const TunnelPeer& peer, const TunnelTarget& target) const {
  return static_cast<std::size_t>(peer.region != own_region_) +
         static_cast<std::size_t>(peer.region != target.region);
}

/// A peer that counts as isolated says nothing about the backend server.
bool TunnelPeers::IsDown(const BackendId& backend, TimePoint now) const {
  const auto failing = std::ranges::count_if(peers_, [&](const TunnelPeer& peer) {
    return IsAvailable(peer, now) && CannotReach(peer, backend, now);
  });
  return static_cast<std::size_t>(failing) >= options_.down_after;
}

bool TunnelPeers::IsAvailable(const TunnelPeer& peer, TimePoint now) const {
  const auto state = states_.find(peer.address);
  return state == states_.end() || state->second.backoff_until <= now;
}

bool TunnelPeers::CannotReach(const TunnelPeer& peer, const BackendId& backend,
                              TimePoint now) const {
  const auto state = states_.find(peer.address);
  if (state == states_.end()) return false;
  const auto until = state->second.unreachable_until.find(backend);
  return until != state->second.unreachable_until.end() && until->second > now;
}

}  // namespace ridgehold
