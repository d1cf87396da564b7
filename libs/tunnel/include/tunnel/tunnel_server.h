// Carries tunnels of peers that have no path to backend servers of their own.

#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/ids.h"
#include "metrics/metrics.h"
#include "net/beast.h"
#include "net/response_stream.h"
#include "net/tcp_liveness.h"
#include "tunnel/tunnel_result.h"

namespace ridgehold {

class TunnelSession;

/// Connects only to registered backend servers and only directly, so a tunnel has one hop and
/// there are no loops. What passes through is not interpreted: keys, limits, retries and deadlines
/// are the business of the instance that received the request. Runs on one executor.
class TunnelServer {
 public:
  struct Options {
    std::size_t max_tunnels = 256;
    std::chrono::milliseconds connect_timeout{250};
    TcpLiveness liveness;
  };

  /// Where a tunnel to a backend server leads.
  struct Destination {
    TunnelResult result = TunnelResult::kUnknownBackend;  ///< kOpen if it may be connected to
    tcp::endpoint endpoint;
  };
  using Resolver = std::function<Destination(const BackendId&)>;
  /// Called with the result of each connection to a backend server.
  using Listener = std::function<void(const BackendId&, TunnelResult)>;

  TunnelServer(Options options, Resolver resolve, Listener on_connect, Metrics& metrics)
      : options_(options),
        resolve_(std::move(resolve)),
        on_connect_(std::move(on_connect)),
        metrics_(metrics) {}
  ~TunnelServer();

  TunnelServer(const TunnelServer&) = delete;
  TunnelServer& operator=(const TunnelServer&) = delete;

  /// Serves the CONNECT request `request`, which was read from `socket`.
  net::awaitable<void> Serve(tcp::socket socket, RequestMessage request);

  /// Opens no further tunnels; those that are open continue.
  void Stop() { stopping_ = true; }
  /// Resets the tunnels that are open.
  void Abort();

  std::size_t open_tunnels() const { return sessions_->size(); }

 private:
  using Sessions = std::map<std::uint64_t, std::weak_ptr<TunnelSession>>;

  Destination Resolve(const BackendId& backend) const;
  net::awaitable<TunnelResult> Connect(tcp::socket& backend, tcp::endpoint endpoint);
  void StartSession(tcp::socket peer, tcp::socket backend, StreamFraming framing);

  Options options_;
  Resolver resolve_;
  Listener on_connect_;
  Metrics& metrics_;
  /// Shared with the sessions, which may outlive this object.
  std::shared_ptr<Sessions> sessions_ = std::make_shared<Sessions>();
  std::size_t connecting_ = 0;
  std::uint64_t last_session_ = 0;
  bool stopping_ = false;
};

}  // namespace ridgehold
