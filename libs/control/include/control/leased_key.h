// Holds a store key under a lease, for membership or as a distributed lock.

#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "base/lease_clock.h"
#include "control/leased_put.h"
#include "control/state_store.h"
#include "log/log.h"
#include "net/wait.h"

namespace ridgehold {

/// Acquires the key whenever it is free and keeps its lease alive. The key counts as held only
/// until the lease expires, counted from just before the last successful renewal was sent. MayAct()
/// is true only once the previous holder's last action is at least `handover_delay` old. Runs on
/// one executor.
template <StateStore Store>
class LeasedKey {
 public:
  struct Options {
    std::string key;
    std::string value;
    std::chrono::milliseconds ttl{2'000};
    /// Renewals per `ttl`.
    int renewals_per_ttl = 4;
    /// If true, waits while another holder has the key. If false, overwrites the key: an instance's
    /// membership key can only have been left behind by its previous process.
    bool exclusive = true;
    /// Interval at which the local copy of the store is checked while another holder has the key.
    std::chrono::milliseconds poll_interval{200};
    /// Returns whether a previous process of this instance may have left the key behind, judged
    /// without a call to the store. If empty, the store is asked once at the start.
    std::function<bool()> predecessor_may_hold;
    /// Minimum time between the actions of two successive holders.
    std::chrono::milliseconds handover_delay{0};
  };

  /// `key_is_free` returns whether the key is absent from the local copy of the store.
  LeasedKey(Store& store, net::any_io_executor executor, Options options,
            std::function<bool()> key_is_free)
      : store_(store),
        options_(std::move(options)),
        key_is_free_(std::move(key_is_free)),
        timer_(executor),
        created_(Clock::now()) {}

  net::awaitable<void> Run() {
    while (!stopped_) {
      if (lease_) {
        // Counted from the start of the renewal: otherwise slow calls to the store would use up the
        // lease.
        const TimePoint next = Clock::now() + options_.ttl / options_.renewals_per_ttl;
        co_await Renew();
        co_await MarkActive();
        co_await WaitUntil(timer_, next);
        continue;
      }
      const bool ask_store = !options_.predecessor_may_hold || options_.predecessor_may_hold();
      if (options_.exclusive && !checked_predecessor_ && ask_store) {
        co_await Reacquire();
      } else if (key_is_free_()) {
        co_await Acquire(StoreRevision(0), options_.handover_delay);
      }
      if (!lease_) co_await WaitFor(timer_, options_.poll_interval);
    }
  }

  /// Stops holding the key, and revokes its lease so that the store removes the key at once. If the
  /// store cannot be reached, the key stays until the lease expires.
  net::awaitable<void> Release() {
    stopped_ = true;
    timer_.cancel();
    co_await StepDown();
  }

  /// The same, but acquires the key again as soon as `key_is_free` returns true.
  net::awaitable<void> StepDown() {
    if (!lease_) co_return;
    const StoreLeaseId lease = *lease_;
    ClearLease();
    const StoreResult<StoreLeaseId> ended = co_await store_.RevokeLease(lease);
    if (ended.has_error()) {
      Log(LogLevel::kWarn, "failed to revoke lease",
          {{"key", options_.key}, {"fault", std::string(NameOf(ended.error()))}});
    }
  }

  /// Returns whether the key is certainly held at `now`.
  bool IsHeld(TimePoint now) const { return lease_.has_value() && clock_.MayAct(now); }

  /// Returns whether the key is held and the handover delay has passed at `now`.
  bool MayAct(TimePoint now) const { return IsHeld(now) && now >= active_from_; }

  /// When the handover delay ends; meaningful while the key is held.
  TimePoint active_from() const { return active_from_; }

  /// Start of the period in which no other process can have acted under the key; meaningful while
  /// the key is held. It is the time of acquisition, or the start of this process if a previous
  /// process of this instance held the key.
  TimePoint exclusive_since() const { return exclusive_since_; }

  /// The revision at which the key was acquired, which is higher for each later holder.
  std::uint64_t fencing_token() const { return fencing_token_; }

 private:
  /// Suffix of the key's value once the handover delay after the previous holder has passed, so
  /// that the current holder may have acted.
  static constexpr char kActiveSuffix[] = " acting";

  /// Reacquires a key that a previous process of this instance may still hold. No other process can
  /// have acted under it, so neither its lease nor the handover delay is waited for: the two waits
  /// took 4.8 s of the 10 s that a rollout has. If the previous process had not yet become active,
  /// the handover delay still applies.
  net::awaitable<void> Reacquire() {
    const StoreResult<StorePage> page = co_await store_.List(options_.key, "");
    if (page.has_error()) co_return;
    const auto found = std::ranges::find(page->items, options_.key, &StoreItem::key);
    const bool was_active =
        found != page->items.end() && found->value == options_.value + kActiveSuffix;
    const bool is_own =
        was_active || (found != page->items.end() && found->value == options_.value);
    if (is_own) {
      co_await Acquire(found->revision,
                       was_active ? std::chrono::milliseconds(0) : options_.handover_delay);
    }
    // If the answer to the write was lost, looks for the key again.
    checked_predecessor_ = !is_own || lease_.has_value();
  }

  /// Acquires the key if it is at `revision`; 0 means that the key must not exist.
  net::awaitable<void> Acquire(StoreRevision revision, std::chrono::milliseconds handover_delay) {
    const TimePoint start = Clock::now();
    const auto expected = options_.exclusive ? std::optional(revision) : std::nullopt;
    const StoreResult<LeasedPut> written =
        co_await PutUnderLease(store_, options_.key, options_.value, options_.ttl, expected);
    if (written.has_error()) co_return;
    lease_ = written->lease.id;
    clock_.Renew(start, written->lease.ttl);
    fencing_token_ = written->revision.value();
    revision_ = written->revision;
    active_from_ = Clock::now() + handover_delay;
    exclusive_since_ = revision == StoreRevision(0) ? start : created_;
    marked_active_ = false;
    Log(LogLevel::kInfo, "key held",
        {{"key", options_.key},
         {"fencing", std::to_string(fencing_token_)},
         {"ttl_ms", std::to_string(written->lease.ttl.count())},
         {"taken_back", revision == StoreRevision(0) ? "no" : "yes"},
         {"acts_in_ms", std::to_string(handover_delay.count())}});
  }

  /// Marks the key's value, so that a later process of this instance can skip the handover delay.
  net::awaitable<void> MarkActive() {
    const bool should_mark = options_.exclusive && !marked_active_ && MayAct(Clock::now());
    if (!should_mark) co_return;
    StoreTransaction transaction;
    transaction.conditions.push_back({options_.key, revision_});
    transaction.puts.push_back({options_.key, options_.value + kActiveSuffix, *lease_});
    const StoreResult<StoreRevision> written = co_await store_.Commit(std::move(transaction));
    // If the condition failed, an earlier write of the mark was applied and its answer was lost.
    marked_active_ = written.has_value() || written.error() == StoreError::kConditionFailed;
  }

  net::awaitable<void> Renew() {
    const TimePoint start = Clock::now();
    const StoreLeaseId lease = *lease_;
    const StoreResult<LeaseGrant> renewed = co_await store_.RenewLease(lease);
    if (!lease_) co_return;
    if (renewed.has_value()) {
      clock_.Renew(start, renewed->ttl);
      co_return;
    }
    // Without an answer the lease may still be alive, and a later renewal that succeeds proves that
    // no other process has had the key. Giving the key up here would cost the rest of the lease and
    // the handover delay after each short outage of the store.
    if (renewed.error() != StoreError::kNotFound) co_return;
    Log(LogLevel::kWarn, "key lost",
        {{"key", options_.key}, {"fault", std::string(NameOf(renewed.error()))}});
    ClearLease();
  }

  void ClearLease() {
    lease_.reset();
    clock_.Drop();
  }

  Store& store_;
  Options options_;
  std::function<bool()> key_is_free_;
  Timer timer_;
  std::optional<StoreLeaseId> lease_;
  LeaseClock clock_;
  std::uint64_t fencing_token_ = 0;
  StoreRevision revision_;  ///< of the key's last write
  TimePoint active_from_{};
  TimePoint created_;
  TimePoint exclusive_since_{};
  bool checked_predecessor_ = false;
  bool marked_active_ = false;
  bool stopped_ = false;
};

}  // namespace ridgehold
