// Keeps a gateway current through its peers while it cannot reach the store itself.

#pragma once

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "gateway/gateway_state.h"
#include "log/log.h"
#include "net/http_call.h"
#include "peers/store_copy.h"

namespace ridgehold {

/// What takes copies, such as StateFollower.
template <class Follower>
concept CopyTaker = requires(Follower& follower, std::vector<StoreItem> items,
                             StoreRevision revision, TimePoint confirmed) {
  { follower.revision() } -> std::convertible_to<StoreRevision>;
  follower.TakeCopy(std::move(items), revision, confirmed);
};

/// Asks peers once the configuration has not been confirmed for a while. An
/// answer's age counts from before the question was sent, so a late answer
/// never looks fresher than it is. Runs on one executor.
template <CopyTaker Follower>
class StoreCopyReader {
 public:
  struct Options {
    std::uint16_t port = 0;  ///< the same on all instances
    /// Without confirmation for so long peers are asked; a watch that works
    /// confirms every second.
    std::chrono::milliseconds ask_after{1'500};
    std::chrono::milliseconds look{200};
    /// A peer answers within a round trip, 6 ms between zones.
    std::chrono::milliseconds limit{250};
  };

  StoreCopyReader(GatewayState& state, Follower& follower, Options options,
                  std::function<std::vector<std::string>()> peers)
      : state_(state),
        follower_(follower),
        options_(options),
        peers_(std::move(peers)),
        timer_(state.executor()),
        random_(std::random_device{}()) {}

  net::awaitable<void> Run() {
    while (!stopped_) {
      if (Clock::now() - state_.confirmed_at() >= options_.ask_after) co_await AskOne();
      ErrorCode ignored;
      timer_.expires_after(options_.look);
      co_await timer_.async_wait(net::redirect_error(net::use_awaitable, ignored));
    }
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

 private:
  net::awaitable<void> AskOne() {
    const std::vector<std::string> peers = peers_();
    if (peers.empty()) co_return;
    const std::string peer = peers[random_() % peers.size()] + ":" + std::to_string(options_.port);
    TimePoint asked = Clock::now();
    std::optional<StoreCopy> copy = co_await Ask(peer, kStoreCopyAgePath);
    if (!copy || copy->revision < follower_.revision()) co_return;
    if (copy->revision > follower_.revision()) {
      asked = Clock::now();
      copy = co_await Ask(peer, kStoreCopyPath);
      if (!copy) co_return;
    }
    const TimePoint confirmed = asked - copy->age;
    if (confirmed <= state_.confirmed_at()) co_return;
    Log(LogLevel::kInfo, "configuration confirmed by a peer",
        {{"peer", peer},
         {"store_revision", std::to_string(copy->revision.value())},
         {"age_ms", std::to_string(copy->age.count())}});
    follower_.TakeCopy(std::move(copy->items), copy->revision, confirmed);
  }

  net::awaitable<std::optional<StoreCopy>> Ask(std::string peer, const char* path) {
    constexpr unsigned kHttp11 = 11;
    RequestMessage request(http::verb::get, path, kHttp11);
    request.set(http::field::host, peer);
    const CallOutcome outcome =
        co_await Call(state_.pool(), peer, std::move(request), options_.limit);
    if (outcome.fault != ExchangeFault::kNone || outcome.answer.result() != http::status::ok) {
      co_return std::nullopt;
    }
    co_return ValueOr(
        [&]() -> Result<std::optional<StoreCopy>> {
          BOOST_LEAF_AUTO(copy, DecodeStoreCopy(outcome.answer.body()));
          return std::optional(std::move(copy));
        },
        [&](const Failure& failure) {
          Log(LogLevel::kWarn, "malformed copy of the store",
              {{"peer", peer}, {"detail", failure.detail}});
          return std::optional<StoreCopy>();
        });
  }

  GatewayState& state_;
  Follower& follower_;
  Options options_;
  std::function<std::vector<std::string>()> peers_;
  net::steady_timer timer_;
  std::minstd_rand random_;
  bool stopped_ = false;
};

}  // namespace ridgehold
