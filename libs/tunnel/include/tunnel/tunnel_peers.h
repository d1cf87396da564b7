// Chooses the peers through which an isolated instance reaches backend servers.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "tunnel/tunnel_result.h"

namespace ridgehold {

/// A peer that may carry tunnels.
struct TunnelPeer {
  std::string address;  ///< without a port
  RegionId region;

  bool operator==(const TunnelPeer&) const = default;
};

/// A backend server as the end of a tunnel.
struct TunnelTarget {
  BackendId backend;
  RegionId region;
};

/// Spreads tunnels evenly over the peers, so that many instances that lose their paths at the same
/// moment do not choose the same one, and remembers for a short time what each peer answered. Not
/// thread-safe; takes the current time as a parameter.
class TunnelPeers {
 public:
  struct Options {
    /// A peer that cannot reach any backend server, or does not respond, gets no tunnels for this
    /// long.
    std::chrono::milliseconds peer_backoff{1'000};
    /// The same for a peer that carries as many tunnels as it may.
    std::chrono::milliseconds full_backoff{200};
    /// A peer gets no tunnels to a backend server for this long after it could not reach it.
    std::chrono::milliseconds pair_backoff{1'000};
    /// Different backend servers that a peer must fail to reach to count as isolated.
    std::size_t isolated_after = 2;
    /// A backend server that this many peers could not reach counts as down.
    std::size_t down_after = 2;
  };

  TunnelPeers(RegionId own_region, std::uint64_t seed, Options options)
      : own_region_(std::move(own_region)), seed_(seed), options_(options) {}

  void SetPeers(std::vector<TunnelPeer> peers);

  /// Returns up to `count` peers, the best first; none if the backend server counts as down.
  std::vector<TunnelPeer> Choose(const TunnelTarget& target, std::size_t count, TimePoint now);

  /// Records how a tunnel through the peer ended.
  void Record(const std::string& peer, const BackendId& backend, TunnelResult result,
              TimePoint now);

  /// Whether any peer may be asked at `now`.
  bool AnyAvailable(TimePoint now) const;

 private:
  struct State {
    TimePoint backoff_until{};
    std::map<BackendId, TimePoint> unreachable_until;
  };

  std::size_t RegionCrossings(const TunnelPeer& peer, const TunnelTarget& target) const;
  bool IsDown(const BackendId& backend, TimePoint now) const;
  bool IsAvailable(const TunnelPeer& peer, TimePoint now) const;
  bool CannotReach(const TunnelPeer& peer, const BackendId& backend, TimePoint now) const;
  void RecordUnreachable(State& state, const BackendId& backend, TimePoint now);

  RegionId own_region_;
  std::uint64_t seed_;
  Options options_;
  std::vector<TunnelPeer> peers_;
  std::map<std::string, State> states_;
};

}  // namespace ridgehold
