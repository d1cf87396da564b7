// A pool of keep-alive connections, by server address.

#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/ids.h"
#include "net/outbound_connection.h"

namespace ridgehold {

/// The result of `ConnectionPool::Acquire`.
struct Checkout {
  std::shared_ptr<OutboundConnection> connection;  ///< null when `fault` is not kNone
  ExchangeFault fault = ExchangeFault::kNone;
  bool fresh = false;    ///< newly opened, not reused
  bool refused = false;  ///< see OutboundConnection::connection_refused()
};

/// An idle connection that the server has closed.
struct ClosedConnection {
  TimePoint opened_at{};
  TimePoint idle_since{};
  TimePoint closed_at{};
  std::optional<std::chrono::seconds> keep_alive;  ///< idle timeout stated by the server
  bool others_open = false;                        ///< the pool has another to the address
};

/// Hands out idle connections, the most recently used first, and opens new ones. Not
/// thread-safe: all calls must come from one executor.
class ConnectionPool {
 public:
  struct Options {
    /// Idle timeout for servers that send no Keep-Alive timeout; shorter than the usual
    /// server-side timeouts.
    std::chrono::milliseconds idle_timeout{4'000};
    /// Upper bound for a server's own Keep-Alive timeout. Longer than `idle_timeout`, since an
    /// instance of a large fleet uses a given server only every few seconds.
    std::chrono::milliseconds max_keep_alive{20'000};
    /// A connection is not reused within this time before the server's Keep-Alive timeout.
    std::chrono::milliseconds keep_alive_margin{500};
    /// Shorter than the kernel's 1 s retransmission timeout for a lost connect packet (SYN).
    std::chrono::milliseconds connect_timeout{700};
    /// A server that leaves sent bytes unacknowledged for this long is considered gone. A sound
    /// server may fall silent for a second or so.
    std::chrono::milliseconds tcp_user_timeout{2'500};
    std::size_t max_idle_per_address = 32;
  };

  ConnectionPool(net::any_io_executor executor, Options options)
      : executor_(std::move(executor)), options_(options) {}

  /// Sends all connections to this address, at the port of the server. For instances that reach the
  /// servers through a forwarder of their own.
  void SetEgressAddress(const net::ip::address& address) { egress_address_ = address; }

  /// Sets the function that is called when an idle connection turns out to be closed by the server.
  using CloseListener = std::function<void(const std::string& address, const ClosedConnection&)>;
  void SetCloseListener(CloseListener listener) { on_closed_ = std::move(listener); }

  /// The endpoint to which connections to the server at `address` are opened; its port is 0 if
  /// `address` is malformed.
  tcp::endpoint EndpointOf(const std::string& address) const;

  /// Returns an idle connection to `address`, or null.
  std::shared_ptr<OutboundConnection> AcquireIdle(const std::string& address);

  /// Returns an idle connection to `address`, or opens a new one. Returns kNotSent if `address`
  /// is malformed or connecting fails.
  net::awaitable<Checkout> Acquire(std::string address, TimePoint deadline);

  /// Returns a connection to the pool after an exchange. Closes it if it cannot be reused or
  /// the pool is full for `address`.
  void Release(const std::string& address, std::shared_ptr<OutboundConnection> connection);

  /// Closes connections whose idle timeout has passed or that the server has closed.
  void CloseExpired(TimePoint now);

  /// Closes idle connections to `address` that the server has closed.
  void CloseEnded(const std::string& address);

  /// Whether an idle connection to `address` is still open on the server's side.
  bool HasOpenConnection(const std::string& address);

  /// Closes all idle connections to `address`.
  void CloseIdle(const std::string& address);

  /// Number of connections opened so far, failed attempts included.
  std::uint64_t opened() const { return opened_; }

 private:
  using Idle = std::deque<std::shared_ptr<OutboundConnection>>;

  void CloseEnded(const std::string& address, Idle& idle, TimePoint now);
  bool Expired(const OutboundConnection& connection, TimePoint now) const;
  void NotifyClosed(const std::string& address, OutboundConnection& connection, TimePoint now);

  net::any_io_executor executor_;
  Options options_;
  std::optional<net::ip::address> egress_address_;
  std::unordered_map<std::string, Idle> idle_;
  std::uint64_t opened_ = 0;
  CloseListener on_closed_;
};

}  // namespace ridgehold
