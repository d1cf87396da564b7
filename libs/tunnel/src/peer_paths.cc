#include "tunnel/peer_paths.h"

#include <algorithm>

#include "log/log.h"

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
    ++path.peers_asked;
    path.result = tunnel.result;
    path.peer = peer.address;
    path.connection = std::move(tunnel.connection);
    if (path.connection) break;
  }
  if (!path.connection) {
    Log(LogLevel::kInfo, "no path through peers",
        {{"backend", target.backend.value()},
         {"peers_asked", std::to_string(path.peers_asked)},
         {"last_peer", path.peer},
         {"result", path.peers_asked > 0 ? std::string(NameOf(path.result)) : "none_available"}});
  }
  co_return path;
}

}  // namespace ridgehold
