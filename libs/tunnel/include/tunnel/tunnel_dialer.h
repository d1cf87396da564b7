// Opens tunnels to backend servers through peers.

#pragma once

#include <chrono>
#include <memory>

#include "base/ids.h"
#include "net/beast.h"
#include "net/outbound_connection.h"
#include "net/tcp_liveness.h"
#include "tunnel/tunnel_result.h"

namespace ridgehold {

/// The result of opening a tunnel.
struct TunnelCheckout {
  TunnelResult result = TunnelResult::kPeerFailed;
  std::shared_ptr<OutboundConnection> connection;  ///< null unless `result` is kOpen
};

/// Asks `peer` with CONNECT to connect to the backend server and waits for its answer until
/// `deadline`. No byte of a request is sent before, so any other result than kOpen proves that
/// nothing was executed.
net::awaitable<TunnelCheckout> OpenTunnel(net::any_io_executor executor, tcp::endpoint peer,
                                          BackendId backend, TcpLiveness liveness,
                                          TimePoint deadline);

}  // namespace ridgehold
