// Exchanges state updates with the other gateways, as datagrams.

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
#include "peers/load_query_service.h"
#include "peers/peer_loads.h"
#include "peers/poison_gossip.h"
#include "peers/tracked_news.h"
#include "peers/tracker_map.h"

namespace ridgehold {

/// Best effort: a lost message is made up for by the next one. Uses datagrams, since late updates
/// are worthless and a connection to a dead peer would cause head-of-line blocking. In a small
/// fleet updates are broadcast; in a large one they go to the gateways that track the backend
/// servers concerned (TrackerMap), which are queried before a request is placed. Runs on one
/// executor.
class PeerLink {
 public:
  struct Options {
    DaemonId self;
    std::string address;     ///< without a port
    std::uint16_t port = 0;  ///< the same on all instances
    /// Interval of updates that only lower the reported load.
    std::chrono::milliseconds period{40};
    /// Added to the interval for each peer, so that a large fleet sends less often.
    std::chrono::milliseconds period_per_peer{1};
    /// A placed request is reported at once, so that other gateways do not pile onto the same
    /// engine, but no sooner than this after the last message.
    std::chrono::microseconds placement_interval{5'000};
    /// Added to `placement_interval` for each peer.
    std::chrono::microseconds placement_interval_per_peer{250};
    /// Maximum interval between messages, and minimum interval between weight announcements, which
    /// are part of a message.
    std::chrono::milliseconds heartbeat{500};
    /// In fleets of more gateways than this, updates are not broadcast; trackers are updated and
    /// queried. A request then costs about twenty datagrams, instead of one for each gateway.
    std::size_t max_broadcast_gateways = 32;
    /// If the event loop did not run for longer than this, the process or its machine was
    /// suspended. Datagrams buffered meanwhile state ages that are too low by up to that time.
    std::chrono::milliseconds suspension_threshold{1'000};
    /// Messages received this soon after a suspension may have been buffered during it; draining
    /// the socket buffer takes less.
    std::chrono::milliseconds stale_after_suspension{100};
    /// Load changes within this time are sent together.
    std::chrono::microseconds tracker_update_interval{1'000};
  };

  /// `members` are the gateways registered in the store, including this one. Before the store was
  /// read only `seeds` are known, which are addresses without a port. Fails as
  /// BindFailure() says if the port cannot be bound.
  static Result<std::unique_ptr<PeerLink>> Create(GatewayState& state, Options options,
                                                  const InstanceRecords& members,
                                                  std::vector<std::string> seeds);

  net::awaitable<void> Send();
  /// Broadcasts reports of requests that may crash backend servers, and notices that backend
  /// servers give about themselves.
  net::awaitable<void> SendGossip();
  net::awaitable<void> Receive();
  void Stop();

  std::size_t active_peers() const { return loads_.size(); }

  /// Sends a datagram to the gateway at `address`, which has no port.
  void SendTo(const std::string& address, const std::string& datagram);

  /// Receives the messages about quotas, with the address of each sender.
  using QuotaListener = std::function<void(const QuotaMessage&, const std::string& from)>;
  void SetQuotaListener(QuotaListener listener) { quota_listener_ = std::move(listener); }

  /// Receives the messages about the origins of streams, with the address of each sender.
  using OriginListener = std::function<void(const OriginMessage&, const std::string& from)>;
  void SetOriginListener(OriginListener listener) { origin_listener_ = std::move(listener); }

 private:
  static constexpr std::size_t kMaxDatagramBytes = 60'000;
  /// Above this number, placed requests are reported in the next message: larger datagrams are
  /// fragmented, and lost if any fragment is.
  static constexpr std::size_t kMaxPlacedPerMessage = 24;
  static constexpr std::chrono::milliseconds kReceivePause{50};
  /// Anyone can send datagrams; each is counted.
  static constexpr std::chrono::milliseconds kMalformedLogInterval{1'000};

  PeerLink(GatewayState& state, Options options, const InstanceRecords& members,
           std::vector<std::string> seeds, net::ip::udp::socket socket);

  /// Applies membership changes, and selects whether trackers are queried.
  void ApplyMembership();
  /// Broadcasts an update if there are changes or a heartbeat is due.
  void Broadcast(TimePoint now);
  void SendToTrackers(TimePoint now);
  /// Returns when the next message is due if nothing changes.
  TimePoint NextSend() const;
  GossipMessage MakeNews();
  GossipMessage MakeHeader();
  std::vector<LoadUpdate> OwnLoads() const;
  void SendTo(const net::ip::address& address, const std::string& datagram);
  void HandleDatagram(std::size_t bytes, const net::ip::udp::endpoint& sender);
  void HandleMessage(const PeerMessage& message, const net::ip::udp::endpoint& sender,
                     TimePoint now);
  void SendToAll(const std::string& datagram);
  /// Applies backend notices from another gateway and, if the sender is behind, replies with newer
  /// ones. Only the trackers of the backend server reply, to avoid hundreds of replies.
  void HandleBackendNotices(PushbackUpdateList news, const net::ip::address& sender, TimePoint now);
  bool Tracks(BackendHash backend, TimePoint now) const;
  /// Records that the event loop has run, and detects a suspension before that.
  void DetectSuspension(TimePoint now);

  GatewayState& state_;
  Options options_;
  const InstanceRecords& members_;
  std::vector<std::string> seeds_;
  net::ip::udp::socket socket_;
  Timer timer_;
  PeerLoads loads_;
  TrackerMap trackers_;
  TrackedNews tracked_news_;
  LoadQueryService load_queries_;
  PoisonGossip poison_gossip_;
  BackendGossip backend_gossip_;
  Timer gossip_timer_;
  Timer receive_timer_;
  TimePoint malformed_logged_at_{};
  QuotaListener quota_listener_;
  OriginListener origin_listener_;
  std::vector<net::ip::address> peers_;  ///< all gateways but this one
  std::optional<std::uint64_t> members_version_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t sequence_ = 0;
  bool tracker_update_pending_ = false;  ///< an update for a tracker is pending
  TimePoint last_check_{};               ///< last check for updates
  TimePoint last_run_{};
  TimePoint stale_until_{};  ///< messages until then may have been buffered during a suspension
  TimePoint last_sent_{};
  TimePoint last_namings_{};
  std::vector<LoadUpdate> last_broadcast_loads_;  ///< as last broadcast
  bool stopped_ = false;
  std::array<char, kMaxDatagramBytes> buffer_;
};

}  // namespace ridgehold
