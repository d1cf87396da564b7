// Paths to backend servers through peers, for an instance that cannot reach them itself.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "metrics/metrics.h"
#include "net/beast.h"
#include "tunnel/tunnel_dialer.h"
#include "tunnel/tunnel_peers.h"

namespace ridgehold {

/// A tunnel, and the peer that carries it.
struct PeerPath {
  TunnelResult result = TunnelResult::kPeerFailed;  ///< of the last peer that was asked
  std::size_t peers_asked = 0;
  std::shared_ptr<OutboundConnection> connection;  ///< null unless `result` is kOpen
  std::string peer;                                ///< address without a port
};

/// Asks peers one after the other, a few at most. Runs on one executor.
class PeerPaths {
 public:
  struct Options {
    std::uint16_t port = 0;  ///< of the peers' tunnel servers
    /// Longer than a peer takes to find out that it cannot reach a backend server.
    std::chrono::milliseconds open_timeout{400};
    std::size_t max_peers_asked = 3;
    TcpLiveness liveness;
  };

  PeerPaths(net::any_io_executor executor, Options options, TunnelPeers peers, Metrics& metrics)
      : executor_(std::move(executor)),
        options_(options),
        peers_(std::move(peers)),
        metrics_(metrics) {}

  /// Called before each choice with the object to be updated.
  using PeerSource = std::function<void(TunnelPeers&)>;
  void SetPeerSource(PeerSource source) { update_peers_ = std::move(source); }

  /// Opens a tunnel to the backend server, before `deadline`.
  net::awaitable<PeerPath> Open(TunnelTarget target, TimePoint deadline);

 private:
  net::any_io_executor executor_;
  Options options_;
  TunnelPeers peers_;
  Metrics& metrics_;
  PeerSource update_peers_;
};

}  // namespace ridgehold
