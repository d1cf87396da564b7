// Sends this gateway's news to the others and takes theirs, as datagrams.

#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "gateway/gateway_state.h"
#include "net/beast.h"
#include "peers/peer_loads.h"

namespace ridgehold {

/// Best effort: a lost message is made good by the next one. Datagrams, since
/// late news is worth nothing and a connection to a dead peer would hold up
/// what follows. Runs on one executor.
class PeerLink {
 public:
  struct Options {
    DaemonId self;
    std::string address;     ///< without a port
    std::uint16_t port = 0;  ///< the same on all instances
    /// Between messages about load that has only become less.
    std::chrono::milliseconds period{40};
    /// Added to it for each peer, so that a large fleet sends less often.
    std::chrono::milliseconds period_per_peer{1};
    /// A placed request is told at once, so that the others do not pile onto
    /// the same engine, but not sooner than so long after the last message.
    std::chrono::microseconds placed_gap{5'000};
    /// Added to it for each peer.
    std::chrono::microseconds placed_gap_per_peer{250};
    /// A message goes out at least this often; so often one has the namings.
    std::chrono::milliseconds heartbeat{500};
  };

  /// `peers` tells the addresses, without port, of the other gateways. Fails
  /// with kInvalidSettings when the port cannot be had.
  static Result<std::unique_ptr<PeerLink>> Create(GatewayState& state, Options options,
                                                  std::function<std::vector<std::string>()> peers);

  net::awaitable<void> Send();
  net::awaitable<void> Receive();
  void Stop();

  std::size_t peers_heard() const { return loads_.size(); }

 private:
  static constexpr std::size_t kMaxDatagramBytes = 60'000;
  /// Above this, news of placed requests wait for the next message: larger
  /// datagrams are split on the way and lost whole.
  static constexpr std::size_t kMostPlaced = 24;

  PeerLink(GatewayState& state, Options options, std::function<std::vector<std::string>()> peers,
           net::ip::udp::socket socket);

  /// Sends what there is to tell, if anything or a heartbeat is due.
  void SendNews(const std::vector<std::string>& peers, TimePoint now);
  /// When the next message goes out if nothing more happens.
  TimePoint NextSend(std::size_t peers) const;
  GatewayNews MakeNews();
  std::vector<LoadNews> OwnLoads() const;
  std::vector<NamingNews> RecentNamings(TimePoint now) const;
  void SendToPeers(const std::string& datagram, const std::vector<std::string>& peers);
  void Take(std::size_t bytes);

  GatewayState& state_;
  Options options_;
  std::function<std::vector<std::string>()> peers_;
  net::ip::udp::socket socket_;
  net::steady_timer timer_;
  PeerLoads loads_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t sequence_ = 0;
  TimePoint looked_{};  ///< for something to tell
  TimePoint last_sent_{};
  TimePoint last_namings_{};
  std::vector<LoadNews> told_loads_;  ///< of the last message
  bool stopped_ = false;
  std::array<char, kMaxDatagramBytes> buffer_;
};

}  // namespace ridgehold
