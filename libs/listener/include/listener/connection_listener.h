// A listening socket whose accept loop stays cheap while descriptors or memory are short.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "listener/accept_backoff.h"
#include "net/beast.h"
#include "net/timer.h"

namespace ridgehold {

/// Runs on the acceptor's executor. Must outlive Accept().
class ConnectionListener {
 public:
  /// `name` names the port in log lines.
  ConnectionListener(tcp::acceptor acceptor, std::string name)
      : acceptor_(std::move(acceptor)),
        name_(std::move(name)),
        pause_timer_(acceptor_.get_executor()) {}

  /// Waits for the next connection. Pauses after failures, see AcceptBackoff; the kernel meanwhile
  /// queues new connections. Returns nullopt once the listener is closed.
  net::awaitable<std::optional<tcp::socket>> Accept();

  /// Stops accepting connections.
  void Close();

  net::any_io_executor get_executor() { return acceptor_.get_executor(); }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  net::awaitable<void> Recover(ErrorCode error);

  tcp::acceptor acceptor_;
  std::string name_;
  Timer pause_timer_;
  AcceptBackoff backoff_;
};

}  // namespace ridgehold
