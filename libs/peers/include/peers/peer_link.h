// Sends this gateway's news to the others and takes theirs, as datagrams.

#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "gateway/gateway_state.h"
#include "net/beast.h"
#include "net/timer.h"
#include "peers/backend_gossip.h"
#include "peers/load_asker.h"
#include "peers/peer_loads.h"
#include "peers/poison_gossip.h"
#include "peers/tracked_news.h"
#include "peers/tracker_map.h"

namespace ridgehold {

/// Best effort: a lost message is made good by the next one. Datagrams, since
/// late news is worth nothing and a connection to a dead peer would hold up
/// what follows. In a small fleet all are told; in a large one those that track
/// the backend servers concerned (TrackerMap), which are asked before a choice.
/// Runs on one executor.
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
    /// With more gateways than this those that track are told and asked: each
    /// request costs some twenty datagrams then, and one for each gateway else.
    std::size_t most_told = 32;
    /// Longer than this without a turn, this process or its machine stood still. What
    /// lay in the socket meanwhile tells ages that are too young by as much.
    std::chrono::milliseconds standstill{1'000};
    /// Emptying the socket takes less.
    std::chrono::milliseconds stale_after_standstill{100};
    /// Changes of load within so long go out together.
    std::chrono::microseconds tracked_gap{1'000};
  };

  /// `members` are the gateways that the store names, this one included; before
  /// the store was read only `seeds` are known, addresses without port. Fails
  /// with kInvalidSettings when the port cannot be had.
  static Result<std::unique_ptr<PeerLink>> Create(GatewayState& state, Options options,
                                                  const InstanceRecords& members,
                                                  std::vector<std::string> seeds);

  net::awaitable<void> Send();
  /// Tells all others of requests that may end backend servers, and what backend servers
  /// say of themselves.
  net::awaitable<void> SendGossip();
  net::awaitable<void> Receive();
  void Stop();

  std::size_t peers_heard() const { return loads_.size(); }

  /// Sends a datagram to the gateway at `address`, without a port.
  void SendTo(const std::string& address, const std::string& datagram);

  /// Gets the messages about quotas, and the address of who has sent each.
  using QuotaListener = std::function<void(const QuotaMessage&, const std::string& from)>;
  void SetQuotaListener(QuotaListener listener) { on_quota_ = std::move(listener); }

 private:
  static constexpr std::size_t kMaxDatagramBytes = 60'000;
  /// Above this, news of placed requests wait for the next message: larger
  /// datagrams are split on the way and lost whole.
  static constexpr std::size_t kMostPlaced = 24;

  PeerLink(GatewayState& state, Options options, const InstanceRecords& members,
           std::vector<std::string> seeds, net::ip::udp::socket socket);

  /// Takes changes of the fleet, and with them whether others are asked.
  void LookAtMembers();
  /// Sends what there is to tell everybody, if anything or a heartbeat is due.
  void SendNews(TimePoint now);
  void SendToTrackers(TimePoint now);
  /// When the next message goes out if nothing more happens.
  TimePoint NextSend() const;
  GossipMessage MakeNews();
  GossipMessage MakeHead();
  std::vector<LoadUpdate> OwnLoads() const;
  void SendTo(const net::ip::address& address, const std::string& datagram);
  void Take(std::size_t bytes, const net::ip::udp::endpoint& sender);
  void TakeMessage(const PeerMessage& message, const net::ip::udp::endpoint& sender, TimePoint now);
  void SendToAll(const std::string& datagram);
  /// Takes other gateways' news of backend servers' words, and tells a sender that is
  /// behind. Only those do that track the backend server, or hundreds would.
  void TakeWords(BackendNewsList news, const net::ip::address& sender, TimePoint now);
  bool Tracks(BackendHash backend, TimePoint now) const;
  /// Notes a turn of this process; finds out whether it stood still before.
  void NoteTurn(TimePoint now);

  GatewayState& state_;
  Options options_;
  const InstanceRecords& members_;
  std::vector<std::string> seeds_;
  net::ip::udp::socket socket_;
  Timer timer_;
  PeerLoads loads_;
  TrackerMap trackers_;
  TrackedNews tracked_news_;
  LoadAsker asker_;
  PoisonGossip poison_gossip_;
  BackendGossip backend_gossip_;
  Timer gossip_timer_;
  QuotaListener on_quota_;
  std::vector<net::ip::address> peers_;  ///< all others
  std::optional<std::uint64_t> members_version_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t sequence_ = 0;
  bool changed_ = false;  ///< there is something for a tracker
  TimePoint looked_{};    ///< for something to tell
  TimePoint last_turn_{};
  TimePoint stale_until_{};  ///< messages until then may have lain here through a standstill
  TimePoint last_sent_{};
  TimePoint last_namings_{};
  std::vector<LoadUpdate> told_loads_;  ///< of the last message to all
  bool stopped_ = false;
  std::array<char, kMaxDatagramBytes> buffer_;
};

}  // namespace ridgehold
