// Adds the load that other gateways report for each backend server to this one's view.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"
#include "gateway/gateway_gossip.h"
#include "gateway/gateway_state.h"

namespace ridgehold {

/// Not thread-safe; time is passed in.
class PeerLoads {
 public:
  /// A gateway that was not heard from for this long is assumed to send no more requests.
  static constexpr std::chrono::milliseconds kPeerTimeout{1'500};

  explicit PeerLoads(GatewayState& state) : state_(state) {}

  /// Applies a message; returns false if it is older than one already applied.
  bool Apply(const GossipMessage& news, TimePoint now);

  /// Removes gateways that have timed out.
  void Expire(TimePoint now);

  /// Returns the load of `gateway` at a backend server, as last reported.
  LoadUpdate LoadOf(const DaemonId& gateway, BackendHash backend) const;

  /// Returns the number of gateways heard from recently.
  std::size_t size() const { return peers_.size(); }

 private:
  struct Peer {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::vector<LoadUpdate> loads;
    TimePoint heard{};
  };

  void Add(const std::vector<LoadUpdate>& loads);
  void Subtract(const std::vector<LoadUpdate>& loads);
  void ApplyItems(const GossipItems& items, TimePoint now);

  GatewayState& state_;
  std::map<DaemonId, Peer> peers_;
};

}  // namespace ridgehold
