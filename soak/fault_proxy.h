// A TCP proxy on loopback that harms what passes through it.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "sleep.h"

namespace ridgehold::soak {

/// What a proxy does to bytes now. What is held comes later, in order.
struct LinkState {
  std::chrono::milliseconds delay{0};
  bool hold_to_server = false;
  bool hold_to_client = false;
  bool refuse_new = false;
};

/// Passes connections on to one address.
class FaultProxy {
 public:
  FaultProxy(net::any_io_executor executor, const std::string& target);

  std::string address() const { return address_; }
  void Set(const LinkState& state) { *state_ = state; }
  /// Resets all connections.
  void Reset();
  /// As when the process behind it ends: connections are reset, new ones refused.
  void Close();
  /// Listens again, at the same address.
  void Open();

 private:
  struct Link;
  using Sockets = std::shared_ptr<Link>;

  net::awaitable<void> Accept();
  static net::awaitable<void> Connect(Sockets link, tcp::endpoint target);
  static net::awaitable<void> Pump(Sockets link, tcp::socket& from, tcp::socket& to,
                                   bool LinkState::*held);

  tcp::endpoint target_;
  tcp::acceptor acceptor_;
  std::string address_;
  std::shared_ptr<LinkState> state_ = std::make_shared<LinkState>();
  std::vector<std::weak_ptr<Link>> links_;
};

}  // namespace ridgehold::soak
