// Kept connections to backend servers, by address.

#pragma once

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/ids.h"
#include "net/outbound_connection.h"

namespace ridgehold {

/// A connection that a request may use, and how getting it ended.
struct Checkout {
  std::shared_ptr<OutboundConnection> connection;  ///< null when `fault` is not kNone
  ExchangeFault fault = ExchangeFault::kNone;
  bool fresh = false;  ///< opened for this request
};

/// Hands out idle connections, newest first, and opens new ones. All calls
/// come from one executor.
class ConnectionPool {
 public:
  struct Options {
    /// Kept connections are dropped after this long without use where the server
    /// does not say how long it keeps them; shorter than servers commonly do.
    std::chrono::milliseconds idle_limit{4'000};
    /// The same where it says so: an instance of a large fleet comes back to a
    /// server every few seconds only.
    std::chrono::milliseconds named_idle_limit{20'000};
    /// A connection is not reused within this span before the server's own limit.
    std::chrono::milliseconds keep_alive_margin{500};
    /// A packet lost while connecting is sent again by the kernel after 1 s.
    std::chrono::milliseconds connect_limit{700};
    /// Sent bytes that a live server does not acknowledge for this long mean
    /// that it is gone; ten times the round trip between zones is 30 ms.
    std::chrono::milliseconds unacknowledged_limit{1'000};
    std::size_t most_idle = 32;  ///< for each address
  };

  ConnectionPool(net::any_io_executor executor, Options options)
      : executor_(std::move(executor)), options_(options) {}

  /// Returns an idle connection to `address`, or a new one.
  net::awaitable<Checkout> Acquire(std::string address, TimePoint limit);

  /// Takes a connection back after an exchange; it is closed unless it can
  /// serve another.
  void Release(const std::string& address, std::shared_ptr<OutboundConnection> connection);

  /// Closes what has been idle too long or was closed by its server.
  void Sweep(TimePoint now);

  /// Whether a kept connection to `address` is still open at the other side.
  bool HasOpen(const std::string& address);

  /// Closes all idle connections to `address`.
  void Forget(const std::string& address) { idle_.erase(address); }

  std::uint64_t opened() const { return opened_; }

 private:
  using Idle = std::deque<std::shared_ptr<OutboundConnection>>;

  bool Expired(const OutboundConnection& connection, TimePoint now) const;

  net::any_io_executor executor_;
  Options options_;
  std::unordered_map<std::string, Idle> idle_;
  std::uint64_t opened_ = 0;
};

}  // namespace ridgehold
