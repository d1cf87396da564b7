// The network between instances, of which some can be cut off.

#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fault_proxy.h"

namespace ridgehold::soak {

/// Passes datagrams and connections between the addresses that instances publish and those at which
/// they listen. Whoever sends is told by its source address, which must be the one it listens at.
class PeerNetwork {
 public:
  explicit PeerNetwork(net::any_io_executor executor) : executor_(std::move(executor)) {}

  /// Listens at `published` for the instance at `own`.
  void Add(const std::string& published, const std::string& own);
  /// Loses the datagrams and holds the bytes from and to the instance at `own`. Cuts may overlap.
  void Cut(const std::string& own) { Count(own, 1); }
  void Heal(const std::string& own) { Count(own, -1); }
  /// Datagrams that passed, and those that were lost in cuts.
  int passed() const { return passed_; }
  int lost() const { return lost_; }

 private:
  static constexpr std::size_t kLargestDatagram = 65'536;

  struct Peer {
    net::ip::address own;
    net::ip::udp::socket socket;
    std::unique_ptr<FaultProxy> proxy;
    int cuts = 0;
    std::array<char, kLargestDatagram> buffer{};
  };
  using Ends = std::pair<const Peer*, const Peer*>;

  void Count(const std::string& own, int change);
  Peer* Find(const net::ip::address& own);
  /// What happens to bytes from `source`, nullptr if unknown, to `target`.
  std::shared_ptr<const LinkState> StateOf(const Peer* source, const Peer* target);
  static void Apply(const Ends& ends, LinkState& state);
  net::awaitable<void> Pass(Peer* target);

  net::any_io_executor executor_;
  std::vector<std::unique_ptr<Peer>> peers_;
  std::map<Ends, std::shared_ptr<LinkState>> states_;
  int passed_ = 0;
  int lost_ = 0;
};

}  // namespace ridgehold::soak
