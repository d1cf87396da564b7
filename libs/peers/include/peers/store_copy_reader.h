// Keeps a gateway up to date through its peers, so that few gateways read the store itself.

#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/gateway_state.h"
#include "log/log.h"
#include "net/http_call.h"
#include "net/wait.h"
#include "peers/store_copy.h"

namespace ridgehold {

/// A receiver of copies, such as StateFollower.
template <class Follower>
concept CopySink = requires(Follower& follower, std::vector<StoreItem> items,
                            const std::vector<StoreEvent>& changes, StoreRevision revision,
                            TimePoint confirmed, TimePoint settled) {
  { follower.revision() } -> std::convertible_to<StoreRevision>;
  follower.ApplyCopy(std::move(items), revision, confirmed, settled);
  follower.ApplyChanges(changes, revision, confirmed, settled);
};

/// Asks the relay for news, which answers once it has some, and any peer once the configuration was
/// not confirmed for a while. An answer's age counts from before the request was sent, plus the
/// time for which the relay says it held the request, so a late answer never looks fresher than it
/// is. Runs on one executor.
template <CopySink Follower>
class StoreCopyReader {
 public:
  struct Options {
    std::uint16_t port = 0;  ///< the same on all instances
    /// Peers are asked if nothing was confirmed for this long; a working watch confirms every
    /// second.
    std::chrono::milliseconds stale_after{1'500};
    std::chrono::milliseconds poll_interval{200};
    /// Minimum interval between requests to the relay, so that several changes arrive together.
    std::chrono::milliseconds relay_poll_interval{100};
    /// The relay answers after this at the latest, which shows that it is alive.
    std::chrono::milliseconds relay_hold{400};
    /// A relay with a working watch is never older than the watch interval of 1 s.
    std::chrono::milliseconds max_relay_age{1'300};
    /// The reader gives up a relay whose copy has not been current for this long.
    std::chrono::milliseconds relay_timeout{600};
    /// Added to `stale_after`, `max_relay_age` and `relay_timeout` for each level below the second
    /// in the tree of relays: if a relay far up fails, those next to it find another one before the
    /// hundreds behind them turn to the store.
    std::chrono::milliseconds tolerance_per_level{400};
    std::chrono::milliseconds max_tolerance{1'000};
    /// Returns how many instances are between this one and the store.
    std::function<std::size_t()> depth = [] { return std::size_t{1}; };
    /// Time for which a relay is not asked after it was given up; its registration in the store
    /// expires later.
    std::chrono::milliseconds relay_cooldown{5'000};
    /// Shorter cool-down of a relay that lost its connection to the store, which may be restored
    /// soon.
    std::chrono::milliseconds store_lost_cooldown{1'000};
    /// A peer answers within a round trip, which takes 6 ms between zones.
    std::chrono::milliseconds timeout{250};
    /// The same for a copy of everything: a megabyte over the slowest link, which several share.
    std::chrono::milliseconds copy_timeout{4'000};
  };

  /// Returns the address of a relay that is not in `excluded`, if there is one.
  using RelaySelector =
      std::function<std::optional<std::string>(const std::set<std::string>& excluded)>;

  StoreCopyReader(GatewayState& state, Follower& follower, Options options,
                  std::function<std::vector<std::string>()> peers, RelaySelector relay)
      : state_(state),
        follower_(follower),
        options_(options),
        peers_(std::move(peers)),
        select_relay_(std::move(relay)),
        timer_(state.executor()),
        random_(std::random_device{}()) {}

  net::awaitable<void> Run() {
    const TimePoint started = Clock::now();
    while (!stopped_) {
      const TimePoint now = Clock::now();
      tolerance_ = Tolerance();
      const TimePoint current = std::max(state_.confirmed_at(), started);
      const bool stale = now - current >= options_.stale_after + tolerance_;
      const std::optional<std::string> relay = SelectRelay(now);
      if (relay) co_await Poll(*relay, HoldFor(now, stale));
      const std::string peer = stale ? AnyPeer() : "";
      if (!peer.empty()) co_await Poll(peer, std::chrono::milliseconds(0));
      const auto interval = relay && !stale ? options_.relay_poll_interval : options_.poll_interval;
      co_await WaitUntil(timer_, now + interval);
    }
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

  /// Returns whether the relay answers, reaches the store and is itself current.
  bool RelayIsCurrent(TimePoint now) const {
    return now - relay_current_at_ < options_.relay_timeout + tolerance_;
  }

 private:
  /// How long the relay may hold the next request. A relay that is not known to be current answers
  /// at once: until then this instance calls the store.
  std::chrono::milliseconds HoldFor(TimePoint now, bool stale) const {
    const bool at_once = stale || !RelayIsCurrent(now);
    return at_once ? std::chrono::milliseconds(0) : options_.relay_hold;
  }

  std::chrono::milliseconds Tolerance() const {
    constexpr std::size_t kFirstTolerantLevel = 3;
    const std::size_t depth = options_.depth();
    if (depth < kFirstTolerantLevel) return std::chrono::milliseconds(0);
    const auto levels = static_cast<int>(depth - kFirstTolerantLevel + 1);
    return std::min(levels * options_.tolerance_per_level, options_.max_tolerance);
  }

  std::string AnyPeer() {
    const std::vector<std::string> peers = peers_();
    return peers.empty() ? "" : peers[random_() % peers.size()];
  }

  /// Returns the current relay. A new relay does not count as current until it answers.
  std::optional<std::string> SelectRelay(TimePoint now) {
    std::erase_if(cooldown_until_, [&](const auto& entry) { return entry.second <= now; });
    std::set<std::string> excluded;
    for (const auto& [address, until] : cooldown_until_) excluded.insert(address);
    std::optional<std::string> relay = select_relay_(excluded);
    if (relay != current_relay_) {
      current_relay_ = relay;
      relay_current_at_ = {};
      relay_selected_at_ = now;
    }
    return relay;
  }

  net::awaitable<void> Poll(std::string peer, std::chrono::milliseconds hold) {
    const TimePoint sent_at = Clock::now();
    std::optional<StoreCopy> copy = co_await Fetch(peer, hold);
    // The answer was made no earlier than this.
    const TimePoint asked_at = sent_at + (copy ? copy->held : std::chrono::milliseconds(0));
    if (copy && current_relay_ == peer) RecordRelayAnswer(*copy, asked_at);
    // A relay that starts together with this instance has nothing yet, but will soon.
    const bool starts_too = peer_is_starting_ && follower_.revision() == StoreRevision();
    if (!copy && current_relay_ == peer && !starts_too) RecordRelayTimeout(peer, Clock::now());
    if (!copy || copy->revision < follower_.revision()) co_return;
    const TimePoint confirmed = asked_at - copy->age;
    const TimePoint settled = asked_at + copy->grace;
    if (confirmed <= state_.confirmed_at() && copy->revision == follower_.revision()) co_return;
    if (!copy->changes.empty()) {
      Log(LogLevel::kInfo, "changes taken from a peer",
          {{"peer", peer},
           {"changes", std::to_string(copy->changes.size())},
           {"whole", copy->is_snapshot ? "yes" : "no"},
           {"store_revision", std::to_string(copy->revision.value())},
           {"age_ms", std::to_string(copy->age.count())}});
    }
    if (copy->is_snapshot) {
      follower_.ApplyCopy(ItemsOf(std::move(*copy)), copy->revision, confirmed, settled);
    } else {
      follower_.ApplyChanges(copy->changes, copy->revision, confirmed, settled);
    }
  }

  void RecordRelayAnswer(const StoreCopy& copy, TimePoint asked_at) {
    // A relay that cannot reach the store cannot keep any gateway current. Waiting until its copy
    // is too old would use up the time within which changes must take effect.
    if (copy.store_unreachable) {
      relay_current_at_ = {};
      cooldown_until_[*current_relay_] = asked_at + options_.store_lost_cooldown;
    }
    const bool current = copy.age < options_.max_relay_age + tolerance_;
    if (!copy.store_unreachable && current) relay_current_at_ = asked_at;
  }

  void RecordRelayTimeout(const std::string& relay, TimePoint now) {
    const TimePoint current = std::max(relay_selected_at_, relay_current_at_);
    if (now - current < options_.relay_timeout + tolerance_) return;
    Log(LogLevel::kInfo, "relay not current; asking another one", {{"peer", relay}});
    cooldown_until_[relay] = now + options_.relay_cooldown;
  }

  static std::vector<StoreItem> ItemsOf(StoreCopy copy) {
    std::vector<StoreItem> items;
    for (StoreEvent& change : copy.changes) {
      if (change.item) items.push_back(std::move(*change.item));
    }
    return items;
  }

  net::awaitable<std::optional<StoreCopy>> Fetch(std::string peer, std::chrono::milliseconds hold) {
    constexpr unsigned kHttp11 = 11;
    const StoreCopyRequest wanted = MakeRequest(hold);
    const std::string target = kStoreCopyPath + std::string("?") + wanted.ToQuery();
    RequestMessage request(http::verb::get, target, kHttp11);
    request.set(http::field::host, peer);
    const std::string address = peer + ":" + std::to_string(options_.port);
    const bool wants_all = wanted.revision == StoreRevision();
    const CallLimits limits{hold + (wants_all ? options_.copy_timeout : options_.timeout),
                            kMaxStoreCopyBytes};
    const CallResult outcome = co_await Call(state_.pool(), address, std::move(request), limits);
    peer_is_starting_ = outcome.fault == ExchangeFault::kNone &&
                        outcome.response.result() == http::status::service_unavailable;
    if (outcome.fault != ExchangeFault::kNone || outcome.response.result() != http::status::ok) {
      co_return std::nullopt;
    }
    co_return ValueOr(
        [&]() -> Result<std::optional<StoreCopy>> {
          BOOST_LEAF_AUTO(copy, DecodeStoreCopy(outcome.response.body()));
          return std::optional(std::move(copy));
        },
        [&](const Failure& failure) {
          Log(LogLevel::kWarn, "malformed store copy from peer",
              {{"peer", peer}, {"detail", failure.detail}});
          return std::optional<StoreCopy>();
        });
  }

  StoreCopyRequest MakeRequest(std::chrono::milliseconds hold) const {
    StoreCopyRequest request;
    request.revision = follower_.revision();
    request.wait = hold;
    request.accepts_deflate = true;
    request.accepts_deflated_changes = true;
    if (state_.confirmed_at() != TimePoint()) {
      request.age = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                                          state_.confirmed_at());
    }
    return request;
  }

  GatewayState& state_;
  Follower& follower_;
  Options options_;
  std::function<std::vector<std::string>()> peers_;
  RelaySelector select_relay_;
  std::map<std::string, TimePoint> cooldown_until_;  ///< by address
  std::optional<std::string> current_relay_;
  TimePoint relay_selected_at_{};  ///< when the current relay was selected
  Timer timer_;
  std::minstd_rand random_;
  TimePoint relay_current_at_{};  ///< last poll that found it current
  std::chrono::milliseconds tolerance_{0};
  bool peer_is_starting_ = false;  ///< by the last answer, it has no copy yet
  bool stopped_ = false;
};

}  // namespace ridgehold
