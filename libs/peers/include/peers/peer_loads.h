// Adds what other gateways do at each backend server to what this one knows.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"
#include "gateway/gateway_gossip.h"
#include "gateway/gateway_state.h"

namespace ridgehold {

/// Not thread-safe; time comes in as a value.
class PeerLoads {
 public:
  /// A gateway unheard for this long is taken to send nothing any more.
  static constexpr std::chrono::milliseconds kForgetAfter{1'500};

  explicit PeerLoads(GatewayState& state) : state_(state) {}

  /// Takes a message; false when it is older than one taken before.
  bool Take(const GossipMessage& news, TimePoint now);

  /// Drops gateways that have fallen silent.
  void Expire(TimePoint now);

  /// What `gateway` does at a backend server, as it told last.
  LoadUpdate LoadOf(const DaemonId& gateway, BackendHash backend) const;

  /// Gateways heard lately.
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
  void TakeItems(const GossipItems& items, TimePoint now);

  GatewayState& state_;
  std::map<DaemonId, Peer> peers_;
};

}  // namespace ridgehold
