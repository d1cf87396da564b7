// Keeps a gateway current through its peers, so that few gateways ask the store itself.

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

/// What takes copies, such as StateFollower.
template <class Follower>
concept CopyTaker = requires(Follower& follower, std::vector<StoreItem> items,
                             const std::vector<StoreEvent>& changes, StoreRevision revision,
                             TimePoint confirmed, TimePoint settled) {
  { follower.revision() } -> std::convertible_to<StoreRevision>;
  follower.ApplyCopy(std::move(items), revision, confirmed, settled);
  follower.ApplyChanges(changes, revision, confirmed, settled);
};

/// Asks the zone's relay regularly; and any peer once the configuration has
/// not been confirmed for a while. An answer's age counts from before the
/// question was sent, so a late answer never looks fresher than it is. Runs on
/// one executor.
template <CopyTaker Follower>
class StoreCopyReader {
 public:
  struct Options {
    std::uint16_t port = 0;  ///< the same on all instances
    /// Without confirmation for so long peers are asked; a watch that works
    /// confirms every second.
    std::chrono::milliseconds ask_after{1'500};
    std::chrono::milliseconds look{200};
    /// Between questions to the relay: what is late here goes to backend
    /// servers that are gone.
    std::chrono::milliseconds relay_pause{150};
    /// A relay whose watch works is never older than the watch's second.
    std::chrono::milliseconds current_age{1'300};
    /// A relay that was not current for so long is not relied on.
    std::chrono::milliseconds relay_silence{600};
    /// It is passed over for so long then; its mark in the store lapses after that.
    std::chrono::milliseconds passed_over{5'000};
    /// The same for one that has lost the store, which may be back at once.
    std::chrono::milliseconds lost_store{1'000};
    /// A peer answers within a round trip, 6 ms between zones.
    std::chrono::milliseconds limit{250};
  };

  /// The address of the relay, if there is one, without those that are given.
  using RelayChoice =
      std::function<std::optional<std::string>(const std::set<std::string>& passed_over)>;

  StoreCopyReader(GatewayState& state, Follower& follower, Options options,
                  std::function<std::vector<std::string>()> peers, RelayChoice relay)
      : state_(state),
        follower_(follower),
        options_(options),
        peers_(std::move(peers)),
        relay_(std::move(relay)),
        timer_(state.executor()),
        random_(std::random_device{}()) {}

  net::awaitable<void> Run() {
    while (!stopped_) {
      const bool stale = Clock::now() - state_.confirmed_at() >= options_.ask_after;
      const std::optional<std::string> relay = CurrentRelay(Clock::now());
      if (relay) co_await Ask(*relay);
      const std::string peer = stale ? AnyPeer() : "";
      if (!peer.empty()) co_await Ask(peer);
      co_await WaitFor(timer_, relay && !stale ? options_.relay_pause : options_.look);
    }
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

  /// Whether the relay answers, reaches the store and is itself current.
  bool RelayIsCurrent(TimePoint now) const {
    return now - relay_answered_ < options_.relay_silence;
  }

 private:
  std::string AnyPeer() {
    const std::vector<std::string> peers = peers_();
    return peers.empty() ? "" : peers[random_() % peers.size()];
  }

  /// The relay as things are; another than before is not current until it answers.
  std::optional<std::string> CurrentRelay(TimePoint now) {
    std::erase_if(passed_over_, [&](const auto& entry) { return entry.second <= now; });
    std::set<std::string> without;
    for (const auto& [address, until] : passed_over_) without.insert(address);
    std::optional<std::string> relay = relay_(without);
    if (relay != asked_relay_) {
      asked_relay_ = relay;
      relay_answered_ = {};
      relay_since_ = now;
    }
    return relay;
  }

  net::awaitable<void> Ask(std::string peer) {
    const TimePoint asked = Clock::now();
    std::optional<StoreCopy> copy = co_await Fetch(peer);
    if (copy && asked_relay_ == peer) NoteRelay(*copy, asked);
    if (!copy && asked_relay_ == peer) NoteSilence(peer, Clock::now());
    if (!copy || copy->revision < follower_.revision()) co_return;
    const TimePoint confirmed = asked - copy->age;
    const TimePoint settled = asked + copy->grace;
    if (confirmed <= state_.confirmed_at() && copy->revision == follower_.revision()) co_return;
    if (!copy->changes.empty()) {
      Log(LogLevel::kInfo, "changes taken from a peer",
          {{"peer", peer},
           {"changes", std::to_string(copy->changes.size())},
           {"whole", copy->whole ? "yes" : "no"},
           {"store_revision", std::to_string(copy->revision.value())},
           {"age_ms", std::to_string(copy->age.count())}});
    }
    if (copy->whole) {
      follower_.ApplyCopy(ItemsOf(std::move(*copy)), copy->revision, confirmed, settled);
    } else {
      follower_.ApplyChanges(copy->changes, copy->revision, confirmed, settled);
    }
  }

  void NoteRelay(const StoreCopy& copy, TimePoint asked) {
    // It cannot keep anybody current; waiting for its copy to grow old would
    // use up the time that changes have.
    if (copy.store_lost) {
      relay_answered_ = {};
      passed_over_[*asked_relay_] = asked + options_.lost_store;
    }
    if (!copy.store_lost && copy.age < options_.current_age) relay_answered_ = asked;
  }

  void NoteSilence(const std::string& relay, TimePoint now) {
    if (now - std::max(relay_since_, relay_answered_) < options_.relay_silence) return;
    Log(LogLevel::kInfo, "relay passed over", {{"peer", relay}});
    passed_over_[relay] = now + options_.passed_over;
  }

  static std::vector<StoreItem> ItemsOf(StoreCopy copy) {
    std::vector<StoreItem> items;
    for (StoreEvent& change : copy.changes) {
      if (change.item) items.push_back(std::move(*change.item));
    }
    return items;
  }

  net::awaitable<std::optional<StoreCopy>> Fetch(std::string peer) {
    constexpr unsigned kHttp11 = 11;
    const std::string target =
        kStoreCopyPath + std::string("?") + std::to_string(follower_.revision().value());
    RequestMessage request(http::verb::get, target, kHttp11);
    request.set(http::field::host, peer);
    const std::string address = peer + ":" + std::to_string(options_.port);
    const CallOutcome outcome =
        co_await Call(state_.pool(), address, std::move(request), options_.limit);
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
  RelayChoice relay_;
  std::map<std::string, TimePoint> passed_over_;  ///< until when
  std::optional<std::string> asked_relay_;
  TimePoint relay_since_{};  ///< when it became the relay
  Timer timer_;
  std::minstd_rand random_;
  TimePoint relay_answered_{};  ///< when it was last asked and was current
  bool stopped_ = false;
};

}  // namespace ridgehold
