// Keeps an instance's routing state in sync with the store: one listing, then watches.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "control/call_patience.h"
#include "control/decoded_item.h"
#include "control/key_changes.h"
#include "control/state_store.h"
#include "control/store_connectivity.h"
#include "control/store_item_applier.h"
#include "log/duration_text.h"
#include "log/log.h"
#include "net/wait.h"

namespace ridgehold {

/// Runs until Stop() on one executor. Each answer that proves which configuration is the newest
/// also advances GatewayState::confirmed_at.
template <StateStore Store, ItemDecoder Codec>
class StateFollower {
 public:
  struct Options {
    /// A watch without changes ends after this long, which confirms that the configuration is
    /// current. 1 s is less than a third of 5 s, the shortest time for which API keys may be
    /// trusted without confirmation, so a lost watch is tolerated.
    std::chrono::milliseconds watch_timeout{1'000};
    /// Pause after a watch that returned changes, so that the next watch returns several at once: a
    /// rollout writes about twenty keys per second, each of which would otherwise cost every relay
    /// a call. The pause is at most a tenth of the time within which shutdowns of backend servers
    /// and configuration changes have to take effect.
    std::chrono::milliseconds batch_delay{200};
    /// Returns whether updates currently come from a peer's copy of the store instead of the store
    /// itself.
    std::function<bool()> follows_peer = [] { return false; };
    /// If set, called before the first listing, until it succeeds or a peer's copy arrives.
    std::function<net::awaitable<StoreResult<StoreSize>>()> survey;
    /// Called if the store turns out to have more than one page, before awaits_copy().
    std::function<void()> on_large_store = [] {};
    /// Returns whether to wait for a peer's copy instead of listing a large store.
    std::function<bool()> awaits_copy = [] { return false; };
    /// Called after the local copy has changed, was confirmed, or has lost the store.
    std::function<void()> on_update = [] {};
    std::chrono::milliseconds peer_poll_interval{100};
    /// Maximum time after the first listing for which the store is not called, to wait for a peer
    /// whose copy can be followed.
    std::chrono::milliseconds relay_wait{0};
    /// Assumed age of items found at the start, whose write time is unknown. Peers provide the
    /// actual age if there are any.
    std::chrono::milliseconds assumed_age{5'000};
    /// Delay between failed calls, doubled up to `max_backoff`.
    std::chrono::milliseconds min_backoff{50};
    std::chrono::milliseconds max_backoff{400};
    /// Factor of `max_backoff`. The calls of a large fleet to a store that is down cost as much as
    /// successful ones, and the few instances closest to the store notice its return for all.
    std::function<double()> backoff_scale = [] { return 1.0; };
    /// A listing that fails continues at the failed page for this long, which is less than the time
    /// for which the store keeps the changes made meanwhile.
    std::chrono::milliseconds max_listing_time{8'000};
  };

  StateFollower(Store& store, GatewayState& state, InstanceRecords& records, Options options)
      : store_(store),
        state_(state),
        records_(records),
        applier_(state, records),
        options_(options),
        timer_(state.executor()),
        random_(std::random_device{}()) {}

  net::awaitable<void> Run() {
    while (!stopped_) {
      if (options_.survey && !surveyed_ && !loaded_) {
        co_await Survey();
        continue;
      }
      const bool follows = loaded_ && options_.follows_peer();
      if (follows) connectivity_.ResetFailures();
      const bool awaits_copy = !listed_ && store_is_large_ && options_.awaits_copy();
      if (follows || awaits_copy) {
        co_await WaitFor(timer_, options_.peer_poll_interval);
        continue;
      }
      // co_await is not used within a condition: g++ 12 miscompiles some of these.
      if (listed_) {
        co_await WatchOnce();
        continue;
      }
      const bool first = !loaded_;
      const Listing listing = co_await ListAll();
      if (listing == Listing::kFailed) co_await BackOff();
      if (listing == Listing::kComplete && first) co_await WaitForRelay();
    }
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

  /// The local copy of the store by key, and its revision.
  const std::map<std::string, StoreItem>& items() const { return items_; }
  StoreRevision revision() const { return revision_; }

  /// Returns the latest change of each key that changed after `revision`, in the order of the
  /// changes; nullopt if some removals are no longer known. Never larger than a full copy.
  std::optional<std::vector<StoreEvent>> ChangesAfter(StoreRevision revision) const {
    if (!listed_ || revision > revision_) return std::nullopt;
    return changes_.After(revision, items_);
  }

  /// Applies changes from a peer, which continue from this copy's revision. For `settled` see
  /// ApplyCopy().
  void ApplyChanges(const std::vector<StoreEvent>& changes, StoreRevision revision,
                    TimePoint confirmed, TimePoint settled = {}) {
    connectivity_.ExtendGrace(settled);
    ApplyEvents(changes, revision);
    listed_ = loaded_;
    Confirm(confirmed);
  }

  /// Applies a peer's copy of the store unless it is older than the local one. The peer's
  /// configuration was certainly the newest at `confirmed`. Until `settled`, missing registrations
  /// may still come back after an outage that the peer observed.
  void ApplyCopy(std::vector<StoreItem> items, StoreRevision revision, TimePoint confirmed,
                 TimePoint settled = {}) {
    if (revision < revision_) return;
    connectivity_.ExtendGrace(settled);
    if (revision > revision_) {
      ApplyListing(items, revision);
      listed_ = true;
      loaded_ = true;
    }
    Confirm(confirmed);
  }

  /// Returns whether the store has been read completely once.
  bool ready() const { return loaded_; }
  const StoreConnectivity& connectivity() const { return connectivity_; }

  /// Returns whether the routing state is being kept up to date.
  bool connected() const { return listed_ && !connectivity_.failing(); }

 private:
  enum class Listing : std::uint8_t {
    kComplete,
    kFailed,
    kLeftToPeers,  ///< the store is large, and a peer may provide its copy
  };

  net::awaitable<void> Survey() {
    const TimePoint start = Clock::now();
    const StoreResult<StoreSize> size = co_await options_.survey();
    surveyed_ = size.has_value();
    if (surveyed_) {
      store_is_large_ = *size == StoreSize::kLarge;
      co_return;
    }
    RecordFailure("survey", size.error(), start);
    co_await BackOff();
  }

  net::awaitable<void> WaitForRelay() {
    const TimePoint until = Clock::now() + options_.relay_wait;
    while (!stopped_ && !options_.follows_peer() && Clock::now() < until) {
      co_await WaitFor(timer_, options_.peer_poll_interval);
    }
  }

  /// Records that the copy was the newest at `moment`.
  void Confirm(TimePoint moment) {
    state_.ConfirmSnapshot(moment);
    options_.on_update();
  }

  net::awaitable<Listing> ListAll() {
    const TimePoint start = Clock::now();
    const StoreRevision known = revision_;
    std::vector<StoreItem> items;
    std::string after;
    std::optional<StoreRevision> first_revision;
    int pages = 0;
    int failures = 0;
    for (bool more = true; more;) {
      const ListOptions list_options{.timeout_factor = patience_.timeout_factor()};
      const StoreResult<StorePage> page = co_await store_.List("", after, list_options);
      if (page.has_error()) {
        RecordFailure("list", page.error(), start);
        ++failures;
        patience_.RecordFailure(page.error());
        if (stopped_ || Clock::now() - start >= options_.max_listing_time) {
          co_return Listing::kFailed;
        }
        co_await BackOff();
        continue;
      }
      // The pages are not one snapshot, so the watch starts from the revision of the first.
      if (!first_revision) first_revision = page->revision;
      if (!loaded_ && page->has_more && !std::exchange(store_is_large_, true)) {
        options_.on_large_store();
        if (options_.awaits_copy()) co_return Listing::kLeftToPeers;
      }
      ++pages;
      items.insert(items.end(), page->items.begin(), page->items.end());
      more = page->has_more && !page->items.empty();
      if (more) after = page->items.back().key;
    }
    RecordSuccess();
    patience_.RecordSuccess();
    LogListing(pages, failures, start);
    // Changes from a peer that arrived while the pages were read take precedence if they are newer.
    const bool superseded = revision_ > std::max(known, *first_revision);
    if (!superseded) ApplyListing(items, *first_revision);
    listed_ = true;
    loaded_ = true;
    Confirm(start);
    co_return Listing::kComplete;
  }

  static void LogListing(int pages, int failures, TimePoint start) {
    Log(LogLevel::kInfo, "store listed",
        {{"pages", std::to_string(pages)},
         {"failed_calls", std::to_string(failures)},
         {"duration_ms", MillisecondsText(Clock::now() - start)}});
  }

  /// Replaces the local copy by `items`, which include all changes up to `revision`.
  void ApplyListing(const std::vector<StoreItem>& items, StoreRevision revision) {
    const TimePoint now = Clock::now();
    const StoreItemApplier::WriteTime written = EarliestWriteTime(now);
    std::vector<StoreItemApplier::ListedBackend> backends;
    records_.Clear();
    applier_.ClearReleaseOrders();
    std::map<std::string, StoreItem> former = std::exchange(items_, {});
    if (!loaded_) changes_.StartAt(revision);
    for (const StoreItem& item : items) {
      items_[item.key] = item;
      changes_.RecordPut(item.key, item.revision);
      former.erase(item.key);
      if (item.key.starts_with(kInstanceKeyPrefix)) {
        applier_.ApplyInstanceKey(item);
        continue;
      }
      Decode(item, [&](DecodedItem decoded) {
        if (auto* entry = std::get_if<BackendEntry>(&decoded)) {
          backends.push_back({std::move(*entry), item.revision});
          return;
        }
        applier_.Apply(item, std::move(decoded), written);
      });
    }
    for (const auto& [key, item] : former) changes_.RecordRemoval(key, revision);
    applier_.ReplaceBackends(backends, connectivity_.GraceForMissing(now), now);
    applier_.UpdateMemberCount();
    revision_ = revision;
  }

  net::awaitable<void> WatchOnce() {
    const TimePoint start = Clock::now();
    // After a failure the watch is sent without a wait time, to find out early whether the store
    // has recovered. Until then, peers that follow this instance call the store themselves.
    const auto wait =
        connectivity_.failing() ? std::chrono::milliseconds(0) : options_.watch_timeout;
    const StoreResult<WatchResult> answer = co_await store_.Watch("", revision_, wait);
    if (answer.has_error()) {
      RecordFailure("watch", answer.error(), start);
      if (answer.error() == StoreError::kCompacted) {
        listed_ = false;
        co_return;
      }
      co_await BackOff();
      co_return;
    }
    RecordSuccess();
    const TimePoint now = Clock::now();
    ApplyEvents(answer->events, answer->revision);
    // An empty watch that lasted its full time proves that there was no change up to its end. If
    // the answer comes later than that, it only proves that the copy was current when the watch was
    // sent.
    const auto excess = now - start - wait;
    const bool ran_full_length =
        answer->events.empty() && excess >= Duration::zero() && excess <= kMaxAnswerDelay;
    Confirm(ran_full_length ? start + wait : start);
    if (!answer->events.empty()) co_await WaitFor(timer_, options_.batch_delay);
  }

  /// Returns the earliest time at which an item received at `now` can have been written. Age limits
  /// count from the write, and updates are delayed by batching, relays and slow calls.
  StoreItemApplier::WriteTime EarliestWriteTime(TimePoint now) const {
    if (!loaded_) return {now - options_.assumed_age, true};
    // If the last confirmation is long ago, as after an outage, it hardly limits the possible write
    // time. The assumed age limits it then, as at the start.
    const bool is_prompt = now - state_.confirmed_at() <= kMaxUpdateDelay;
    return {std::max<TimePoint>(state_.confirmed_at(), now - options_.assumed_age), !is_prompt};
  }

  /// Applies the events that are newer than the local copy. Watches and peers' copies are read
  /// concurrently, and an event that one of them has already delivered would undo later changes.
  /// Events of one transaction share a revision, so the revision advances after all of them.
  void ApplyEvents(const std::vector<StoreEvent>& events, StoreRevision revision) {
    const TimePoint now = Clock::now();
    const StoreItemApplier::WriteTime written = EarliestWriteTime(now);
    for (const StoreEvent& event : events) {
      if (event.revision > revision_) ApplyEvent(event, now, written);
    }
    applier_.UpdateMemberCount();
    revision_ = std::max(revision_, revision);
  }

  void ApplyEvent(const StoreEvent& event, TimePoint now,
                  const StoreItemApplier::WriteTime& written) {
    if (event.item) {
      items_[event.key] = *event.item;
      changes_.RecordPut(event.key, event.revision);
      if (event.key.starts_with(kInstanceKeyPrefix)) return applier_.ApplyInstanceKey(*event.item);
      return Decode(*event.item, [&](DecodedItem decoded) {
        applier_.Apply(*event.item, std::move(decoded), written);
      });
    }
    items_.erase(event.key);
    changes_.RecordRemoval(event.key, event.revision);
    if (event.key.starts_with(kInstanceKeyPrefix)) return applier_.RemoveInstanceKey(event.key);
    if (const auto id = Codec::BackendOf(event.key)) {
      return applier_.RemoveBackend(*id, connectivity_.GraceForMissing(now), now);
    }
    applier_.RemoveOrder(event.key);
  }

  template <class Callback>
  void Decode(const StoreItem& item, Callback&& apply) {
    ValueOr(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(decoded, Codec::Decode(item));
          apply(std::move(decoded));
          return {};
        },
        [&](const Failure& failure) {
          applier_.Reject(item, failure);
          if (const auto id = Codec::BackendOf(item.key)) applier_.RejectBackend(*id, Clock::now());
        });
  }

  void RecordSuccess() {
    const TimePoint now = Clock::now();
    backoff_ = options_.min_backoff;
    if (const auto since = connectivity_.failing_since()) {
      const auto outage = std::chrono::duration_cast<std::chrono::milliseconds>(now - *since);
      Log(LogLevel::kInfo, "store regained", {{"away_ms", std::to_string(outage.count())}});
    }
    connectivity_.RecordSuccess(now);
  }

  void RecordFailure(const char* call, StoreError fault, TimePoint start) {
    state_.metrics().GetCounter("ridgehold_platform_faults").Add();
    // Not an outage: the store answered, and only its history was compacted.
    if (fault == StoreError::kCompacted) {
      Log(LogLevel::kInfo, "store history compacted; listing again",
          {{"revision", std::to_string(revision_.value())}});
      return;
    }
    if (!connectivity_.RecordFailure(start)) return;
    options_.on_update();
    Log(LogLevel::kWarn, "store lost", {{"call", call}, {"fault", std::string(NameOf(fault))}});
  }

  net::awaitable<void> BackOff() {
    // Instances that failed at the same moment must not all repeat their calls at the same moment.
    const Duration backoff = std::chrono::duration_cast<Duration>(
        backoff_ * std::uniform_real_distribution<>(0.5, 1.5)(random_));
    const auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(
        options_.max_backoff * options_.backoff_scale());
    backoff_ = std::min(backoff_ * 2, longest);
    co_await WaitFor(timer_, backoff);
  }

  /// The store answers in 4 ms. The answer to a full-length watch that arrives later than this
  /// after its end may have been created early and delayed in transit.
  static constexpr std::chrono::milliseconds kMaxAnswerDelay{100};
  /// A working watch delivers changes within its timeout plus the latency of a slow store.
  static constexpr std::chrono::milliseconds kMaxUpdateDelay{1'500};

  Store& store_;
  GatewayState& state_;
  InstanceRecords& records_;
  StoreItemApplier applier_;
  Options options_;
  Timer timer_;
  StoreConnectivity connectivity_;
  StoreRevision revision_;
  std::map<std::string, StoreItem> items_;
  KeyChanges changes_;
  std::chrono::milliseconds backoff_{50};
  std::minstd_rand random_;
  CallPatience patience_;
  bool surveyed_ = false;
  bool store_is_large_ = false;  ///< by the survey, or its first page was not the last
  bool listed_ = false;
  bool loaded_ = false;
  bool stopped_ = false;
};

}  // namespace ridgehold
