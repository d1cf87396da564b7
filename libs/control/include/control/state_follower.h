// Keeps a gateway's tables equal to the store: one listing, then a watch.

#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/decoded_item.h"
#include "control/state_store.h"
#include "control/store_connectivity.h"
#include "control/store_item_applier.h"
#include "log/log.h"
#include "net/wait.h"

namespace ridgehold {

/// Runs until Stop on one executor. Any answer that proves what the newest
/// configuration is also moves GatewayState::confirmed_at.
template <StateStore Store, ItemDecoder Codec>
class StateFollower {
 public:
  struct Options {
    /// An empty watch ends after this long and confirms the configuration; a
    /// third of the strictest trust in keys, 5 s, leaves room for a lost one.
    std::chrono::milliseconds watch_timeout{1'000};
    /// After news the store is not asked again for so long: a rollout writes
    /// some twenty keys a second, and each would cost every relay a call. What
    /// is late by this stays within a tenth of the time that leaving backend
    /// servers and changed configurations leave.
    std::chrono::milliseconds batch_delay{200};
    /// Whether another gateway's copy is followed now instead of the store.
    std::function<bool()> follows_peer = [] { return false; };
    std::chrono::milliseconds peer_poll_interval{100};
    /// After the first listing the store is not asked for so long while a peer's
    /// copy may come to be followed.
    std::chrono::milliseconds relay_wait{0};
    /// What a process finds at its start was written at an unknown time; its
    /// peers tell better if there are any.
    std::chrono::milliseconds assumed_age{5'000};
    /// Between failed calls; doubled up to the longest.
    std::chrono::milliseconds min_backoff{50};
    std::chrono::milliseconds max_backoff{400};
  };

  StateFollower(Store& store, GatewayState& state, InstanceRecords& records, Options options)
      : store_(store),
        state_(state),
        records_(records),
        sink_(state, records),
        options_(options),
        timer_(state.executor()) {}

  net::awaitable<void> Run() {
    while (!stopped_) {
      if (listed_ && options_.follows_peer()) {
        connectivity_.ResetFailures();
        co_await WaitFor(timer_, options_.peer_poll_interval);
        continue;
      }
      // No co_await within a condition: g++ 12 miscompiles some of them.
      if (listed_) {
        co_await WatchOnce();
        continue;
      }
      const bool first = !read_once_;
      const bool listed = co_await ListAll();
      if (!listed) co_await Pause();
      if (listed && first) co_await AwaitRelay();
    }
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

  /// Everything known of the store, by key, and the revision it is of.
  const std::map<std::string, StoreItem>& items() const { return items_; }
  StoreRevision revision() const { return revision_; }

  /// The changes after `revision`, if all of them are still remembered.
  std::optional<std::vector<StoreEvent>> ChangesAfter(StoreRevision revision) const {
    if (!listed_ || revision < forgotten_up_to_ || revision > revision_) return std::nullopt;
    std::vector<StoreEvent> changes;
    for (const StoreEvent& event : recent_) {
      if (event.revision > revision) changes.push_back(event);
    }
    return changes;
  }

  /// Takes changes that another gateway has heard of, which follow on this
  /// one's revision. `settled` is as in TakeCopy.
  void TakeChanges(const std::vector<StoreEvent>& changes, StoreRevision revision,
                   TimePoint confirmed, TimePoint settled = {}) {
    connectivity_.ExtendGrace(settled);
    TakeEvents(changes, revision);
    state_.ConfirmSnapshot(confirmed);
  }

  /// Takes another gateway's copy of the store. `confirmed` is when its
  /// configuration was the newest for certain; until `settled` registrations may
  /// come back after an outage that it saw. Older copies change nothing.
  void TakeCopy(std::vector<StoreItem> items, StoreRevision revision, TimePoint confirmed,
                TimePoint settled = {}) {
    if (revision < revision_) return;
    connectivity_.ExtendGrace(settled);
    if (revision > revision_) {
      TakeListing(items);
      revision_ = revision;
      ForgetChanges();
      listed_ = true;
      read_once_ = true;
    }
    state_.ConfirmSnapshot(confirmed);
  }

  /// Whether the store has been read whole once.
  bool ready() const { return read_once_; }
  const StoreConnectivity& connectivity() const { return connectivity_; }

  /// Whether the tables are being kept current now.
  bool connected() const { return listed_ && !connectivity_.failing(); }

 private:
  net::awaitable<void> AwaitRelay() {
    const TimePoint until = Clock::now() + options_.relay_wait;
    while (!stopped_ && !options_.follows_peer() && Clock::now() < until) {
      co_await WaitFor(timer_, options_.peer_poll_interval);
    }
  }

  net::awaitable<bool> ListAll() {
    const TimePoint begun = Clock::now();
    const StoreRevision known = revision_;
    std::vector<StoreItem> items;
    std::string after;
    std::optional<StoreRevision> first_revision;
    for (bool more = true; more;) {
      const StoreResult<StorePage> page = co_await store_.List("", after);
      if (page.has_error()) {
        RecordFailure("list", page.error(), begun);
        co_return false;
      }
      // Pages are no snapshot; the watch goes on from before the first.
      if (!first_revision) first_revision = page->revision;
      items.insert(items.end(), page->items.begin(), page->items.end());
      more = page->has_more && !page->items.empty();
      if (more) after = page->items.back().key;
    }
    RecordSuccess();
    // What a peer told while the pages were read stands if it is newer.
    const bool overtaken = revision_ > std::max(known, *first_revision);
    if (!overtaken) {
      TakeListing(items);
      revision_ = *first_revision;
      ForgetChanges();
    }
    state_.ConfirmSnapshot(begun);
    listed_ = true;
    read_once_ = true;
    co_return true;
  }

  void TakeListing(const std::vector<StoreItem>& items) {
    const TimePoint now = Clock::now();
    const StoreItemApplier::Writing writing = WritingOf(now);
    std::vector<BackendEntry> backends;
    records_.Clear();
    items_.clear();
    ForgetChanges();
    for (const StoreItem& item : items) {
      items_[item.key] = item;
      if (item.key.starts_with(kInstanceKeyPrefix)) {
        sink_.TakeOwn(item);
        continue;
      }
      Decode(item, [&](DecodedItem fact) {
        if (auto* entry = std::get_if<BackendEntry>(&fact)) backends.push_back(*entry);
        sink_.Take(item, std::move(fact), writing);
      });
    }
    sink_.ReplaceBackends(backends, connectivity_.GraceForMissing(now), now);
  }

  net::awaitable<void> WatchOnce() {
    const TimePoint begun = Clock::now();
    // After a failure an answer at once tells that the store is back; followers
    // of this gateway ask the store themselves until then.
    const auto wait =
        connectivity_.failing() ? std::chrono::milliseconds(0) : options_.watch_timeout;
    const StoreResult<WatchResult> answer = co_await store_.Watch("", revision_, wait);
    if (answer.has_error()) {
      RecordFailure("watch", answer.error(), begun);
      if (answer.error() == StoreError::kCompacted) {
        listed_ = false;
        co_return;
      }
      co_await Pause();
      co_return;
    }
    RecordSuccess();
    const TimePoint now = Clock::now();
    TakeEvents(answer->events, answer->revision);
    // An empty watch that lasted its whole time saw nothing until its end. Of a
    // later answer only the question's moment is certain.
    const auto late = now - begun - wait;
    const bool waited = answer->events.empty() && late >= Duration::zero() && late <= kPromptAnswer;
    state_.ConfirmSnapshot(waited ? begun + wait : begun);
    if (!answer->events.empty()) co_await WaitFor(timer_, options_.batch_delay);
  }

  /// When something heard of at `now` was written at the earliest: bounds count
  /// from the writing, and news is late by gathering, relays and a slow store.
  StoreItemApplier::Writing WritingOf(TimePoint now) const {
    if (!read_once_) return {now - options_.assumed_age, true};
    // After an outage that says little, and no more than at a start.
    const bool prompt = now - state_.confirmed_at() <= kPromptNews;
    return {std::max<TimePoint>(state_.confirmed_at(), now - options_.assumed_age), !prompt};
  }

  /// Takes what is new of an answer. Watches and peers' copies are read at the
  /// same time, and what one has told already would undo later changes. Changes
  /// of one transaction share a revision, so it is raised after all of them.
  void TakeEvents(const std::vector<StoreEvent>& events, StoreRevision revision) {
    const TimePoint now = Clock::now();
    const StoreItemApplier::Writing writing = WritingOf(now);
    for (const StoreEvent& event : events) {
      if (event.revision > revision_) TakeEvent(event, now, writing);
    }
    revision_ = std::max(revision_, revision);
  }

  void TakeEvent(const StoreEvent& event, TimePoint now, const StoreItemApplier::Writing& writing) {
    Remember(event);
    items_.erase(event.key);
    if (event.item) {
      items_[event.key] = *event.item;
      if (event.key.starts_with(kInstanceKeyPrefix)) return sink_.TakeOwn(*event.item);
      return Decode(*event.item,
                    [&](DecodedItem fact) { sink_.Take(*event.item, std::move(fact), writing); });
    }
    if (event.key.starts_with(kInstanceKeyPrefix)) return sink_.RemoveOwn(event.key);
    if (const auto id = Codec::BackendOf(event.key)) {
      sink_.RemoveBackend(*id, connectivity_.GraceForMissing(now), now);
    }
  }

  /// Keeps a change for gateways that follow this one.
  void Remember(const StoreEvent& event) {
    recent_.push_back(event);
    if (recent_.size() <= kMostRecent) return;
    forgotten_up_to_ = recent_.front().revision;
    recent_.pop_front();
  }

  void ForgetChanges() {
    recent_.clear();
    forgotten_up_to_ = revision_;
  }

  template <class Take>
  void Decode(const StoreItem& item, Take&& take) {
    ValueOr(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(fact, Codec::Decode(item));
          take(std::move(fact));
          return {};
        },
        [&](const Failure& failure) {
          sink_.Reject(item, failure);
          if (const auto id = Codec::BackendOf(item.key)) sink_.RejectBackend(*id, Clock::now());
        });
  }

  void RecordSuccess() {
    const TimePoint now = Clock::now();
    pause_ = options_.min_backoff;
    if (const auto since = connectivity_.failing_since()) {
      const auto away = std::chrono::duration_cast<std::chrono::milliseconds>(now - *since);
      Log(LogLevel::kInfo, "store regained", {{"away_ms", std::to_string(away.count())}});
    }
    connectivity_.RecordSuccess(now);
  }

  void RecordFailure(const char* call, StoreError fault, TimePoint begun) {
    state_.metrics().GetCounter("ridgehold_platform_faults").Add();
    // The store answered; only the history is gone.
    if (fault == StoreError::kCompacted) {
      Log(LogLevel::kInfo, "store history gone, listing again",
          {{"revision", std::to_string(revision_.value())}});
      return;
    }
    if (!connectivity_.RecordFailure(begun)) return;
    Log(LogLevel::kWarn, "store lost", {{"call", call}, {"fault", std::string(NameOf(fault))}});
  }

  net::awaitable<void> Pause() {
    const std::chrono::milliseconds pause = pause_;
    pause_ = std::min(pause_ * 2, options_.max_backoff);
    co_await WaitFor(timer_, pause);
  }

  /// Changes remembered; a large fleet's heartbeats and a rollout make some
  /// hundred within the half second between two questions of a peer.
  static constexpr std::size_t kMostRecent = 1'000;
  /// The store answers in 4 ms. A whole watch's answer that takes longer than
  /// this beyond its length may have been made early and have lain on its way.
  static constexpr std::chrono::milliseconds kPromptAnswer{100};
  /// A watch that works tells within its length and a slow store's answer.
  static constexpr std::chrono::milliseconds kPromptNews{1'500};

  Store& store_;
  GatewayState& state_;
  InstanceRecords& records_;
  StoreItemApplier sink_;
  Options options_;
  Timer timer_;
  StoreConnectivity connectivity_;
  StoreRevision revision_;
  std::map<std::string, StoreItem> items_;
  std::deque<StoreEvent> recent_;
  StoreRevision forgotten_up_to_;
  std::chrono::milliseconds pause_{50};
  bool listed_ = false;
  bool read_once_ = false;
  bool stopped_ = false;
};

}  // namespace ridgehold
