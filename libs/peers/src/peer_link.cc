#include "peers/peer_link.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

#include "log/log.h"
#include "net/wait.h"
#include "peers/news_codec.h"

namespace ridgehold {
namespace {

// A rollout that is more namings behind has other troubles.
constexpr std::size_t kMostNamings = 6;

}  // namespace

Result<std::unique_ptr<PeerLink>> PeerLink::Create(
    GatewayState& state, Options options, std::function<std::vector<std::string>()> peers) {
  ErrorCode error;
  const auto address = net::ip::make_address(options.address, error);
  net::ip::udp::socket socket(state.executor());
  if (!error) socket.open(net::ip::udp::v4(), error);
  if (!error) socket.bind({address, options.port}, error);
  if (error) {
    return Fail(ResultCode::kInvalidSettings,
                "cannot receive peers' messages on " + options.address + ":" +
                    std::to_string(options.port) + ": " + error.message());
  }
  return std::unique_ptr<PeerLink>(
      new PeerLink(state, std::move(options), std::move(peers), std::move(socket)));
}

PeerLink::PeerLink(GatewayState& state, Options options,
                   std::function<std::vector<std::string>()> peers, net::ip::udp::socket socket)
    : state_(state),
      options_(std::move(options)),
      peers_(std::move(peers)),
      socket_(std::move(socket)),
      timer_(state.executor()),
      loads_(state),
      incarnation_(std::random_device{}()) {}

net::awaitable<void> PeerLink::Send() {
  state_.SetPlacedListener([this] { timer_.cancel(); });
  while (!stopped_) {
    const std::vector<std::string> peers = peers_();
    const TimePoint now = Clock::now();
    loads_.Expire(now);
    if (now >= NextSend(peers.size())) SendNews(peers, now);
    co_await WaitUntil(timer_, NextSend(peers.size()));
  }
  state_.SetPlacedListener({});
}

TimePoint PeerLink::NextSend(std::size_t peers) const {
  const auto count = static_cast<int>(peers);
  if (!state_.news().placed.empty()) {
    return looked_ + options_.placed_gap + count * options_.placed_gap_per_peer;
  }
  return looked_ + options_.period + count * options_.period_per_peer;
}

void PeerLink::SendNews(const std::vector<std::string>& peers, TimePoint now) {
  looked_ = now;
  GatewayNews news = MakeNews();
  const bool due = now - last_sent_ >= options_.heartbeat;
  if (news.items.empty() && news.loads == told_loads_ && !due) return;
  last_sent_ = now;
  SendToPeers(EncodeNews(news), peers);
  told_loads_ = std::move(news.loads);
}

std::vector<LoadNews> PeerLink::OwnLoads() const {
  std::vector<LoadNews> loads;
  for (const auto& [id, backend] : state_.directory().all()) {
    if (backend->in_flight == 0) continue;
    loads.push_back({HashOf(*backend), backend->in_flight,
                     static_cast<std::uint32_t>(std::max(0.0, backend->unprefilled_tokens)),
                     backend->unrepeatable, state_.Uncovered(*backend, Clock::now())});
  }
  return loads;
}

GatewayNews PeerLink::MakeNews() {
  GatewayNews news;
  news.daemon = options_.self;
  news.incarnation = incarnation_;
  news.sequence = ++sequence_;
  news.loads = OwnLoads();
  news.items = state_.TakeNews(kMostPlaced);
  const TimePoint now = Clock::now();
  if (now - last_namings_ >= options_.heartbeat) {
    last_namings_ = now;
    news.namings = RecentNamings(now);
  }
  return news;
}

std::vector<NamingNews> PeerLink::RecentNamings(TimePoint now) const {
  std::vector<NamingNews> recent;
  for (const auto& [model, namings] : state_.named_weights().all()) {
    const std::size_t skipped = namings.size() - std::min(namings.size(), kMostNamings);
    for (std::size_t i = skipped; i < namings.size(); ++i) {
      // A guess would take the place of what others know.
      if (namings[i].assumed) continue;
      const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - namings[i].at);
      recent.push_back({model, namings[i].number, age});
    }
  }
  return recent;
}

void PeerLink::SendToPeers(const std::string& datagram, const std::vector<std::string>& peers) {
  for (const std::string& peer : peers) {
    ErrorCode error;
    const auto address = net::ip::make_address(peer, error);
    if (error) continue;
    socket_.send_to(net::buffer(datagram), {address, options_.port}, 0, error);
    // A full buffer or an unreachable peer: the next message follows soon.
    if (error) state_.metrics().GetCounter("ridgehold_peer_messages_dropped").Add();
  }
}

net::awaitable<void> PeerLink::Receive() {
  net::ip::udp::endpoint sender;
  while (!stopped_) {
    ErrorCode error;
    const std::size_t bytes = co_await socket_.async_receive_from(
        net::buffer(buffer_), sender, net::redirect_error(net::use_awaitable, error));
    if (error == net::error::operation_aborted) co_return;
    if (!error) Take(bytes);
  }
}

void PeerLink::Take(std::size_t bytes) {
  ValueOr(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(news, DecodeNews({buffer_.data(), bytes}));
        if (news.daemon == options_.self) return {};
        const TimePoint now = Clock::now();
        loads_.Take(news, now);
        for (const NamingNews& naming : news.namings) {
          state_.named_weights().Take(naming.model, naming.number, now - naming.age);
        }
        return {};
      },
      [&](const Failure& failure) {
        state_.metrics().GetCounter("ridgehold_peer_messages_malformed").Add();
        Log(LogLevel::kWarn, "malformed peer message",
            {{"bytes", std::to_string(bytes)}, {"detail", failure.detail}});
      });
}

void PeerLink::Stop() {
  stopped_ = true;
  ErrorCode ignored;
  socket_.close(ignored);
  timer_.cancel();
}

}  // namespace ridgehold
