// Connections to backend servers, direct or through a peer.

#pragma once

#include <string>

#include "gateway/backend_directory.h"
#include "net/connection_pool.h"

namespace ridgehold {

class GatewayState;

struct BackendConnection {
  Checkout checkout;
  std::string via_peer;     ///< address of the peer that carries it; empty: direct
  bool no_process = false;  ///< the server's host refuses connections, and no partition does so
};

/// Connects to the backend server by `deadline`. Goes through a peer if the backend server cannot
/// be reached directly. Fails with kNotSent at once if no peer reaches it either.
net::awaitable<BackendConnection> AcquireConnection(GatewayState& state, BackendPtr backend,
                                                    TimePoint deadline);

/// Returns a connection to the pool after an exchange; a connection through a peer is closed, since
/// the peer must be able to shut down when its requests have ended.
void ReleaseConnection(GatewayState& state, const Backend& backend, const std::string& via_peer,
                       std::shared_ptr<OutboundConnection> connection);

}  // namespace ridgehold
