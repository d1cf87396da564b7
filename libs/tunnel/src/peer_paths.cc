#include "tunnel/peer_paths.h"

#include <algorithm>

namespace ridgehold {

net::awaitable<PeerPath> PeerPaths::Open(TunnelTarget target, TimePoint deadline) {
  PeerPath path;
  if (update_peers_) update_peers_(peers_);
  const std::vector<TunnelPeer> chosen =
      peers_.Choose(target, options_.max_peers_asked, Clock::now());
  for (const TunnelPeer& peer : chosen) {
    const TimePoint now = Clock::now();
    if (now >= deadline) break;
    ErrorCode error;
    const tcp::endpoint endpoint(net::ip::make_address(peer.address, error), options_.port);
    TunnelCheckout tunnel =
        co_await OpenTunnel(executor_, endpoint, target.backend, options_.liveness,
                            std::min<TimePoint>(deadline, now + options_.open_timeout));
    peers_.Record(peer.address, target.backend, tunnel.result, Clock::now());
    metrics_
        .GetCounter("ridgehold_tunnels_opened",
                    "result=\"" + std::string(NameOf(tunnel.result)) + "\"")
        .Add();
    path.result = tunnel.result;
    path.peer = peer.address;
    path.connection = std::move(tunnel.connection);
    if (path.connection) break;
  }
  co_return path;
}

}  // namespace ridgehold
