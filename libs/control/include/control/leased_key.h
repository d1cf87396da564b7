// Holds a key of the store under a lease: a member's mark, or a duty that one gateway has.

#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "base/lease_clock.h"
#include "control/state_store.h"
#include "log/log.h"
#include "net/wait.h"

namespace ridgehold {

/// Takes the key whenever it is free, and keeps its lease alive. Certain of
/// the key only while the lease, counted from before the last renewal was
/// sent, has not ended. Acts only when another holder's last act is
/// `separation` old. Runs on one executor.
template <StateStore Store>
class LeasedKey {
 public:
  struct Options {
    std::string key;
    std::string value;
    std::chrono::milliseconds ttl{2'000};
    /// Renewals in one time to live.
    int renewals_per_ttl = 4;
    /// Whether another's key is waited for; else it is overwritten (a mark of
    /// this gateway's own, left by its predecessor).
    bool exclusive = true;
    /// How often a taken key is looked at in the local copy of the store.
    std::chrono::milliseconds poll_interval{200};
    /// Whether a former process of this instance may have left the key, as far as is
    /// known without a call to the store; empty: the store is asked at the start.
    std::function<bool()> predecessor_may_hold;
    /// Between the acts of two holders.
    std::chrono::milliseconds handover_delay{0};
  };

  /// `key_is_free` says whether the store, as last heard, has no such key.
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
        // Counted from the last renewal's beginning: slow calls to the store
        // would else use up the lease.
        const TimePoint next = Clock::now() + options_.ttl / options_.renewals_per_ttl;
        co_await Renew();
        co_await MarkActing();
        co_await WaitUntil(timer_, next);
        continue;
      }
      const bool asks_store = !options_.predecessor_may_hold || options_.predecessor_may_hold();
      if (options_.exclusive && !looked_for_own_ && asks_store) {
        co_await TakeBack();
      } else if (key_is_free_()) {
        co_await Take(StoreRevision(0), options_.handover_delay);
      }
      if (!lease_) co_await WaitFor(timer_, options_.poll_interval);
    }
  }

  /// Gives the key up; the store forgets it at once if it can be reached.
  net::awaitable<void> Release() {
    stopped_ = true;
    timer_.cancel();
    if (!lease_) co_return;
    const StoreLeaseId lease = *lease_;
    Forget();
    const StoreResult<StoreLeaseId> ended = co_await store_.RevokeLease(lease);
    if (ended.has_error()) {
      Log(LogLevel::kWarn, "lease not ended",
          {{"key", options_.key}, {"fault", std::string(NameOf(ended.error()))}});
    }
  }

  /// Whether the key is certainly held at `now`.
  bool IsHeld(TimePoint now) const { return lease_.has_value() && clock_.MayAct(now); }

  /// Whether the holder may act at `now`.
  bool MayAct(TimePoint now) const { return IsHeld(now) && now >= active_from_; }

  /// From when on it may, as long as the key is held.
  TimePoint active_from() const { return active_from_; }

  /// Since when no other process can have acted under the key, while it is held: when it
  /// was taken, or, if a former process of this instance had it, when this one started.
  TimePoint exclusive_since() const { return exclusive_since_; }

  /// The revision at which the key was taken: higher for each later holder.
  std::uint64_t fencing_token() const { return fencing_token_; }

 private:
  /// In the key's value when its holder may have acted, so that the separation
  /// from the holder before it is over.
  static constexpr char kActing[] = " acting";

  /// A former process of this instance may have the key still. None else can
  /// have acted under it, so it is taken back at once and without separation:
  /// waiting for its lease and then for itself cost 4.8 s of the 10 s that a
  /// rollout has. If the former process had not got to act, the wait stays.
  net::awaitable<void> TakeBack() {
    const StoreResult<StorePage> page = co_await store_.List(options_.key, "");
    if (page.has_error()) co_return;
    const auto found = std::ranges::find(page->items, options_.key, &StoreItem::key);
    const bool acted = found != page->items.end() && found->value == options_.value + kActing;
    const bool own = acted || (found != page->items.end() && found->value == options_.value);
    if (own) {
      co_await Take(found->revision,
                    acted ? std::chrono::milliseconds(0) : options_.handover_delay);
    }
    // A taking whose answer was lost is looked for again.
    looked_for_own_ = !own || lease_.has_value();
  }

  /// Takes the key if it is at `revision`; 0: if it is free.
  net::awaitable<void> Take(StoreRevision revision, std::chrono::milliseconds handover_delay) {
    const TimePoint begun = Clock::now();
    const StoreResult<LeaseGrant> granted = co_await store_.GrantLease(options_.ttl);
    if (granted.has_error()) co_return;
    StoreTransaction transaction;
    if (options_.exclusive) transaction.conditions.push_back({options_.key, revision});
    transaction.puts.push_back({options_.key, options_.value, granted->id});
    const StoreResult<StoreRevision> written = co_await store_.Commit(std::move(transaction));
    if (written.has_error()) {
      // The write may still be done; ending the lease takes it back.
      co_await store_.RevokeLease(granted->id);
      co_return;
    }
    lease_ = granted->id;
    clock_.Renew(begun, granted->ttl);
    fencing_token_ = written->value();
    revision_ = *written;
    active_from_ = Clock::now() + handover_delay;
    exclusive_since_ = revision == StoreRevision(0) ? begun : created_;
    marked_ = false;
    Log(LogLevel::kInfo, "key held",
        {{"key", options_.key},
         {"fencing", std::to_string(fencing_token_)},
         {"ttl_ms", std::to_string(granted->ttl.count())},
         {"taken_back", revision == StoreRevision(0) ? "no" : "yes"},
         {"acts_in_ms", std::to_string(handover_delay.count())}});
  }

  /// Tells a later process of this instance that it need not wait.
  net::awaitable<void> MarkActing() {
    const bool due = options_.exclusive && !marked_ && MayAct(Clock::now());
    if (!due) co_return;
    StoreTransaction transaction;
    transaction.conditions.push_back({options_.key, revision_});
    transaction.puts.push_back({options_.key, options_.value + kActing, *lease_});
    const StoreResult<StoreRevision> written = co_await store_.Commit(std::move(transaction));
    // Only an earlier mark whose answer was lost can have changed the key.
    marked_ = written.has_value() || written.error() == StoreError::kConditionFailed;
  }

  net::awaitable<void> Renew() {
    const TimePoint begun = Clock::now();
    const StoreLeaseId lease = *lease_;
    const StoreResult<LeaseGrant> renewed = co_await store_.RenewLease(lease);
    if (!lease_) co_return;
    if (renewed.has_value()) {
      clock_.Renew(begun, renewed->ttl);
      co_return;
    }
    // Without an answer the lease may live on. A later renewal that succeeds
    // proves that nobody else has had the key; giving it up here cost its rest
    // and the separation after each short outage of the store.
    if (renewed.error() != StoreError::kNotFound) co_return;
    Log(LogLevel::kWarn, "key lost",
        {{"key", options_.key}, {"fault", std::string(NameOf(renewed.error()))}});
    Forget();
  }

  void Forget() {
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
  StoreRevision revision_;  ///< of the key, as written last
  TimePoint active_from_{};
  TimePoint created_;
  TimePoint exclusive_since_{};
  bool looked_for_own_ = false;
  bool marked_ = false;
  bool stopped_ = false;
};

}  // namespace ridgehold
