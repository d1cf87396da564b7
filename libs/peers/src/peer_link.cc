#include "peers/peer_link.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>
#include <utility>

#include "log/log.h"
#include "net/listen.h"
#include "net/wait.h"
#include "peers/news_codec.h"
#include "peers/recent_namings.h"

namespace ridgehold {

Result<std::unique_ptr<PeerLink>> PeerLink::Create(GatewayState& state, Options options,
                                                   const InstanceRecords& members,
                                                   std::vector<std::string> seeds) {
  ErrorCode error;
  const auto address = net::ip::make_address(options.address, error);
  net::ip::udp::socket socket(state.executor());
  if (!error) socket.open(net::ip::udp::v4(), error);
  if (!error) socket.bind({address, options.port}, error);
  if (error) {
    const std::string address = options.address + ":" + std::to_string(options.port);
    return Fail(BindFailure("bind the socket for peer messages to " + address, error));
  }
  return std::unique_ptr<PeerLink>(
      new PeerLink(state, std::move(options), members, std::move(seeds), std::move(socket)));
}

PeerLink::PeerLink(GatewayState& state, Options options, const InstanceRecords& members,
                   std::vector<std::string> seeds, net::ip::udp::socket socket)
    : state_(state),
      options_(std::move(options)),
      members_(members),
      seeds_(std::move(seeds)),
      socket_(std::move(socket)),
      timer_(state.executor()),
      loads_(state),
      tracked_news_(state, options_.address),
      load_queries_(state, loads_, trackers_, {options_.self, options_.address},
                    [this](const TrackerMap::Gateway& gateway, const std::string& bytes) {
                      SendTo(gateway.ip, bytes);
                    }),
      gossip_timer_(state.executor()),
      receive_timer_(state.executor()),
      incarnation_(std::random_device{}()) {}

net::awaitable<void> PeerLink::Send() {
  state_.SetPlacementListener([this] { timer_.cancel(); });
  state_.SetLoadListener([this] {
    if (state_.queries_peers() && !std::exchange(tracker_update_pending_, true)) timer_.cancel();
  });
  while (!stopped_) {
    ApplyMembership();
    const TimePoint now = Clock::now();
    DetectSuspension(now);
    loads_.Expire(now);
    if (now >= NextSend()) state_.queries_peers() ? SendToTrackers(now) : Broadcast(now);
    co_await WaitUntil(timer_, NextSend());
  }
  state_.SetPlacementListener({});
  state_.SetLoadListener({});
}

net::awaitable<void> PeerLink::SendGossip() {
  state_.poison().SetUpdateListener([this] { gossip_timer_.cancel(); });
  state_.pushback().SetUpdateListener([this] { gossip_timer_.cancel(); });
  while (!stopped_) {
    const TimePoint now = Clock::now();
    poison_gossip_.Add(state_.poison().TakeUpdate(), now);
    backend_gossip_.Add(state_.pushback().TakeUpdates(), now);
    const PoisonUpdate poison = poison_gossip_.TakeDue(now);
    const PushbackUpdateList words =
        state_.pushback().WithCurrentState(backend_gossip_.TakeDue(now), now);
    ApplyMembership();
    if (!poison.empty()) SendToAll(Encode(options_.self, poison));
    if (!words.empty()) SendToAll(Encode(options_.self, words));
    const TimePoint next = Clock::now();
    co_await WaitUntil(gossip_timer_,
                       std::min(poison_gossip_.NextDue(next), backend_gossip_.NextDue(next)));
  }
  state_.poison().SetUpdateListener({});
  state_.pushback().SetUpdateListener({});
}

void PeerLink::SendToAll(const std::string& datagram) {
  for (const net::ip::address& peer : peers_) SendTo(peer, datagram);
}

void PeerLink::HandleBackendNotices(PushbackUpdateList news, const net::ip::address& sender,
                                    TimePoint now) {
  // A cool-down is sent as its remaining time, which is wrong in a delayed message.
  if (now < stale_until_) {
    for (PushbackUpdate& item : news.items) {
      item.backoff_left.reset();
      item.room.reset();
    }
  }
  const std::uint64_t gateway = std::hash<std::string>{}(sender.to_string());
  PushbackUpdateList newer = state_.pushback().ApplyUpdates(news, gateway, now);
  std::erase_if(newer.items,
                [&](const PushbackUpdate& item) { return !Tracks(item.backend, now); });
  if (!newer.empty()) SendTo(sender, Encode(options_.self, newer));
}

bool PeerLink::Tracks(BackendHash hash, TimePoint now) const {
  const BackendPtr backend = state_.directory().FindByHash(hash);
  if (!backend) return false;
  const auto trackers = trackers_.TrackersOf(hash, backend->entry.zone, now);
  return std::ranges::find(trackers, options_.address, &TrackerMap::Gateway::address) !=
         trackers.end();
}

void PeerLink::ApplyMembership() {
  if (members_version_ == members_.members_version()) return;
  members_version_ = members_.members_version();
  trackers_.SetGateways(members_.Members(), Clock::now());
  peers_.clear();
  const auto add = [this](const std::string& text) {
    ErrorCode error;
    const auto address = net::ip::make_address(text, error);
    if (!error && text != options_.address) peers_.push_back(address);
  };
  for (const Member& member : members_.Members()) add(member.address);
  if (members_.Members().empty()) std::ranges::for_each(seeds_, add);
  const bool use_trackers = members_.Members().size() > options_.max_broadcast_gateways;
  if (use_trackers == state_.queries_peers()) return;
  Log(LogLevel::kInfo,
      use_trackers ? "updating and querying trackers only" : "broadcasting updates to all gateways",
      {{"gateways", std::to_string(members_.Members().size())},
       {"most_told", std::to_string(options_.max_broadcast_gateways)}});
  GatewayState::LoadAsker ask;
  if (use_trackers)
    ask = [this](LoadQuestion question) { return load_queries_.Query(std::move(question)); };
  state_.SetLoadAsker(std::move(ask));
}

TimePoint PeerLink::NextSend() const {
  if (state_.queries_peers()) {
    return last_check_ + (tracker_update_pending_ ? Duration(options_.tracker_update_interval)
                                                  : TrackedNews::kRepeatInterval / 2);
  }
  const auto count = static_cast<int>(peers_.size());
  if (!state_.pending_updates().placed.empty()) {
    return last_check_ + options_.placement_interval + count * options_.placement_interval_per_peer;
  }
  return last_check_ + options_.period + count * options_.period_per_peer;
}

void PeerLink::Broadcast(TimePoint now) {
  last_check_ = now;
  GossipMessage news = MakeNews();
  const bool due = now - last_sent_ >= options_.heartbeat;
  if (news.items.empty() && news.loads == last_broadcast_loads_ && !due) return;
  last_sent_ = now;
  if (now - last_namings_ >= options_.heartbeat) {
    last_namings_ = now;
    news.namings = RecentNamings(state_.named_weights(), now);
  }
  const std::string datagram = EncodeNews(news);
  for (const net::ip::address& peer : peers_) SendTo(peer, datagram);
  last_broadcast_loads_ = std::move(news.loads);
}

void PeerLink::SendToTrackers(TimePoint now) {
  last_check_ = now;
  tracker_update_pending_ = false;
  const GossipItems items = state_.TakePendingUpdates(kMaxPlacedPerMessage);
  for (NewsForTracker& to : tracked_news_.Collect(OwnLoads(), items, trackers_, now)) {
    GossipMessage news = MakeHeader();
    news.loads = std::move(to.loads);
    news.items = std::move(to.items);
    SendTo(to.tracker.ip, EncodeNews(news));
  }
  // Items that did not fit into one message go out next.
  tracker_update_pending_ = tracker_update_pending_ || !state_.pending_updates().placed.empty();
}

std::vector<LoadUpdate> PeerLink::OwnLoads() const {
  std::vector<LoadUpdate> loads;
  const TimePoint now = Clock::now();
  for (const BackendPtr& backend : state_.directory().Active()) {
    if (backend->in_flight > 0) loads.push_back(state_.LocalLoadAt(*backend, now));
  }
  return loads;
}

GossipMessage PeerLink::MakeHeader() {
  GossipMessage news;
  news.daemon = options_.self;
  news.incarnation = incarnation_;
  news.sequence = ++sequence_;
  return news;
}

GossipMessage PeerLink::MakeNews() {
  GossipMessage news = MakeHeader();
  news.loads = OwnLoads();
  news.items = state_.TakePendingUpdates(kMaxPlacedPerMessage);
  return news;
}

void PeerLink::SendTo(const net::ip::address& address, const std::string& datagram) {
  ErrorCode error;
  socket_.send_to(net::buffer(datagram), {address, options_.port}, 0, error);
  // The buffer is full or the peer unreachable; the next message follows soon.
  if (error) state_.metrics().GetCounter("ridgehold_peer_messages_dropped").Add();
}

void PeerLink::SendTo(const std::string& address, const std::string& datagram) {
  ErrorCode error;
  const auto to = net::ip::make_address(address, error);
  if (!error) SendTo(to, datagram);
}

net::awaitable<void> PeerLink::Receive() {
  net::ip::udp::endpoint sender;
  while (!stopped_) {
    ErrorCode error;
    const std::size_t bytes = co_await socket_.async_receive_from(
        net::buffer(buffer_), sender, net::redirect_error(net::use_awaitable, error));
    if (error == net::error::operation_aborted) co_return;
    if (error) {
      // While memory is short, reading fails at once on each call.
      co_await WaitFor(receive_timer_, kReceivePause);
      continue;
    }
    HandleDatagram(bytes, sender);
  }
}

void PeerLink::HandleDatagram(std::size_t bytes, const net::ip::udp::endpoint& sender) {
  ValueOr(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(message, DecodePeerMessage({buffer_.data(), bytes}));
        const TimePoint now = Clock::now();
        DetectSuspension(now);
        HandleMessage(message, sender, now);
        return {};
      },
      [&](const Failure& failure) {
        state_.metrics().GetCounter("ridgehold_peer_messages_malformed").Add();
        const TimePoint now = Clock::now();
        if (now - malformed_logged_at_ < kMalformedLogInterval) return;
        malformed_logged_at_ = now;
        Log(LogLevel::kWarn, "malformed peer message",
            {{"bytes", std::to_string(bytes)}, {"detail", failure.detail}});
      });
}

void PeerLink::HandleMessage(const PeerMessage& message, const net::ip::udp::endpoint& sender,
                             TimePoint now) {
  // Stale messages are detected by their request id.
  if (const auto* quota = std::get_if<QuotaMessage>(&message)) {
    if (quota_listener_) quota_listener_(*quota, sender.address().to_string());
    return;
  }
  if (const auto* origin = std::get_if<OriginMessage>(&message)) {
    if (origin_listener_) origin_listener_(*origin, sender.address().to_string());
    return;
  }
  // Valid at any age.
  if (const auto* poison = std::get_if<PoisonUpdate>(&message)) {
    return state_.poison().ApplyUpdate(*poison, now);
  }
  // Stale messages are detected by their version number, except for cool-downs.
  if (const auto* words = std::get_if<PushbackUpdateList>(&message)) {
    return HandleBackendNotices(*words, sender.address(), now);
  }
  // Its query is still open.
  if (const auto* answer = std::get_if<LoadAnswerMessage>(&message)) {
    return load_queries_.HandleAnswer(*answer, sender.address().to_string());
  }
  if (now < stale_until_) return;
  if (const auto* question = std::get_if<LoadQuestionMessage>(&message)) {
    SendTo(sender.address(), Encode(load_queries_.Answer(*question, now)));
  } else if (const auto& news = std::get<GossipMessage>(message); news.daemon != options_.self) {
    loads_.Apply(news, now);
    ApplyNamings(state_.named_weights(), news.namings, now);
  }
}

void PeerLink::DetectSuspension(TimePoint now) {
  const TimePoint last = std::exchange(last_run_, now);
  if (last == TimePoint() || now - last < options_.suspension_threshold) return;
  stale_until_ = now + options_.stale_after_suspension;
  const auto length = std::chrono::duration_cast<std::chrono::milliseconds>(now - last);
  state_.metrics().GetCounter("ridgehold_standstills").Add();
  Log(LogLevel::kWarn, "stood still", {{"ms", std::to_string(length.count())}});
}

void PeerLink::Stop() {
  stopped_ = true;
  ErrorCode ignored;
  socket_.close(ignored);
  timer_.cancel();
  gossip_timer_.cancel();
  receive_timer_.cancel();
}

}  // namespace ridgehold
