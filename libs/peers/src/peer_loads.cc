#include "peers/peer_loads.h"

#include <algorithm>

namespace ridgehold {

bool PeerLoads::Apply(const GossipMessage& news, TimePoint now) {
  Peer& peer = peers_[news.daemon];
  const bool known = peer.incarnation == news.incarnation;
  if (known && news.sequence <= peer.sequence) return false;
  Subtract(peer.loads);
  peer = {news.incarnation, news.sequence, news.loads, now};
  Add(peer.loads);
  ApplyItems(news.items, now);
  return true;
}

void PeerLoads::Expire(TimePoint now) {
  std::erase_if(peers_, [&](const auto& entry) {
    const bool silent = now - entry.second.heard >= kPeerTimeout;
    if (silent) Subtract(entry.second.loads);
    return silent;
  });
}

void PeerLoads::Add(const std::vector<LoadUpdate>& loads) {
  for (const LoadUpdate& load : loads) {
    const BackendPtr backend = state_.directory().FindByHash(load.backend);
    if (!backend) continue;
    PeerLoad& work = backend->direct_peers;
    work.running += load.running;
    work.unread_tokens += load.unread_tokens;
    work.unrepeatable += load.unrepeatable;
    work.uncovered += load.uncovered;
    work.memory_tokens += load.memory_tokens;
    backend->peers = work;
  }
}

void PeerLoads::Subtract(const std::vector<LoadUpdate>& loads) {
  for (const LoadUpdate& load : loads) {
    const BackendPtr backend = state_.directory().FindByHash(load.backend);
    if (!backend) continue;
    // The backend server may have been added after the load was; do not go below zero.
    PeerLoad& work = backend->direct_peers;
    work.running -= std::min(work.running, load.running);
    work.unread_tokens -= std::min(work.unread_tokens, load.unread_tokens);
    work.unrepeatable -= std::min(work.unrepeatable, load.unrepeatable);
    work.uncovered -= std::min(work.uncovered, load.uncovered);
    work.memory_tokens -= std::min(work.memory_tokens, load.memory_tokens);
    backend->peers = work;
  }
}

LoadUpdate PeerLoads::LoadOf(const DaemonId& gateway, BackendHash backend) const {
  const auto peer = peers_.find(gateway);
  if (peer == peers_.end()) return {};
  const auto load = std::ranges::find(peer->second.loads, backend, &LoadUpdate::backend);
  return load == peer->second.loads.end() ? LoadUpdate() : *load;
}

void PeerLoads::ApplyItems(const GossipItems& items, TimePoint now) {
  for (const PlacementUpdate& placed : items.placed) state_.ApplyPlacement(placed, now);
  for (const HoldUpdate& hold : items.holds) {
    if (const BackendPtr backend = state_.directory().FindByHash(hold.backend)) {
      backend->hold_until = now + hold.duration;
    }
  }
  for (const BackendHash backend_hash : items.unreachable) {
    if (const BackendPtr backend = state_.directory().FindByHash(backend_hash)) {
      state_.directory().RequestProbe(backend);
    }
  }
  for (const ProcessEndUpdate& end : items.ended) {
    if (const BackendPtr backend = state_.directory().FindByHash(end.backend)) {
      state_.directory().RecordReportedEnd(backend, now - end.age, now);
    }
  }
  for (const WeightsUpdate& weights : items.weights) {
    if (const BackendPtr backend = state_.directory().FindByHash(weights.backend)) {
      BackendDirectory::RecordWeights(*backend, weights.model, weights.number);
    }
  }
  for (const PerformanceUpdate& update : items.performance) {
    if (const BackendPtr backend = state_.directory().FindByHash(update.backend)) {
      backend->performance.Add(update.sample);
    }
  }
}

}  // namespace ridgehold
