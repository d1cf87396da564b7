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

/// A link that several proxies share for what goes to their clients. Concurrent transfers share it
/// equally.
class SharedLink {
 public:
  explicit SharedLink(std::size_t bytes_per_second) : bytes_per_second_(bytes_per_second) {}

  /// Occupies the link for `bytes` after all that were accepted before, and returns when that ends.
  TimePoint Accept(std::size_t bytes);

 private:
  std::size_t bytes_per_second_;
  TimePoint busy_until_{};
};

/// Passes connections on to one address.
class FaultProxy {
 public:
  /// Listens on a free port of 127.0.0.1.
  FaultProxy(net::any_io_executor executor, const std::string& target);
  /// Listens on `listen`.
  FaultProxy(net::any_io_executor executor, const std::string& target, const tcp::endpoint& listen);

  std::string address() const { return address_; }
  void Set(const LinkState& state) { *state_ = state; }
  /// Limits what goes to the clients of connections opened from now on.
  void SetSharedLink(std::shared_ptr<SharedLink> link) { shared_link_ = std::move(link); }
  /// Lets `source` choose, by a client's address, what is done to the bytes of its connections.
  void SetStateSource(
      std::function<std::shared_ptr<const LinkState>(const tcp::endpoint&)> source) {
    state_source_ = std::move(source);
  }
  /// Resets all connections.
  void Reset();
  /// As when the process behind it ends: connections are reset, new ones refused.
  void Close();
  /// As when the process behind it has been killed, and its sockets have been closed: what it wrote
  /// and the ends of its connections still pass, new connections are refused.
  void EndServer();
  /// Refuses new connections; those that are open go on.
  void RefuseNew();
  /// As when packets are lost: connections hang, and new ones are not accepted.
  void Silence();
  /// Listens again, at the same address.
  void Open();
  /// Ends what the others brought about.
  void Restore();

 private:
  struct Link;
  using Sockets = std::shared_ptr<Link>;

  net::awaitable<void> Accept(int generation);
  void Listen();
  void StopListening();
  static net::awaitable<void> Connect(Sockets link, tcp::endpoint target,
                                      std::shared_ptr<SharedLink> shared);
  static net::awaitable<void> Pump(Sockets link, tcp::socket& from, tcp::socket& to,
                                   bool LinkState::*held, std::shared_ptr<SharedLink> shared);

  tcp::endpoint target_;
  tcp::acceptor acceptor_;
  std::string address_;
  std::shared_ptr<LinkState> state_ = std::make_shared<LinkState>();
  std::function<std::shared_ptr<const LinkState>(const tcp::endpoint&)> state_source_;
  std::shared_ptr<SharedLink> shared_link_;  ///< nullptr: no limit
  std::vector<std::weak_ptr<Link>> links_;
  int generation_ = 0;  ///< counts the times that it stopped listening
  /// Fill the queue of connections that wait to be accepted, so that the kernel drops further ones.
  std::vector<std::shared_ptr<tcp::socket>> fillers_;
};

}  // namespace ridgehold::soak
