// Holds a key of the store under a lease: a member's mark, or a duty that one gateway has.

#pragma once

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "base/lease_clock.h"
#include "control/state_store.h"
#include "log/log.h"

namespace ridgehold {

/// Takes the key whenever it is free, and keeps its lease alive. Certain of
/// the key only while the lease, counted from before the last renewal was
/// sent, has not ended. Runs on one executor.
template <StateStore Store>
class HeldKey {
 public:
  struct Options {
    std::string key;
    std::string value;
    std::chrono::milliseconds ttl{2'000};
    /// Renewals in one time to live.
    int renewals = 4;
    /// Whether another's key is waited for; else it is overwritten (a mark of
    /// this gateway's own, left by its predecessor).
    bool exclusive = true;
    /// How often a taken key is looked at in the local copy of the store.
    std::chrono::milliseconds look{200};
  };

  /// `key_is_free` says whether the store, as last heard, has no such key.
  HeldKey(Store& store, net::any_io_executor executor, Options options,
          std::function<bool()> key_is_free)
      : store_(store),
        options_(std::move(options)),
        key_is_free_(std::move(key_is_free)),
        timer_(executor) {}

  net::awaitable<void> Run() {
    while (!stopped_) {
      if (lease_) {
        co_await Renew();
        co_await Wait(options_.ttl / options_.renewals);
        continue;
      }
      if (key_is_free_()) co_await Take();
      if (!lease_) co_await Wait(options_.look);
    }
  }

  /// Gives the key up; the store forgets it at once if it can be reached.
  net::awaitable<void> Release() {
    stopped_ = true;
    timer_.cancel();
    if (!lease_) co_return;
    const StoreLeaseId lease = *lease_;
    Forget();
    const StoreResult<StoreLeaseId> ended = co_await store_.EndLease(lease);
    if (ended.has_error()) {
      Log(LogLevel::kWarn, "lease not ended",
          {{"key", options_.key}, {"fault", std::string(NameOf(ended.error()))}});
    }
  }

  /// Whether the key is certainly held at `now`.
  bool Held(TimePoint now) const { return lease_.has_value() && clock_.MayAct(now); }

  /// The revision at which the key was taken: higher for each later holder.
  std::uint64_t fencing() const { return fencing_; }

  /// When the key was taken.
  TimePoint held_since() const { return held_since_; }

 private:
  net::awaitable<void> Take() {
    const TimePoint begun = Clock::now();
    const StoreResult<GrantedLease> granted = co_await store_.GrantLease(options_.ttl);
    if (granted.has_error()) co_return;
    StoreTransaction transaction;
    if (options_.exclusive) transaction.conditions.push_back({options_.key, StoreRevision(0)});
    transaction.puts.push_back({options_.key, options_.value, granted->id});
    const StoreResult<StoreRevision> written = co_await store_.Commit(std::move(transaction));
    if (written.has_error()) {
      // The write may still be done; ending the lease takes it back.
      co_await store_.EndLease(granted->id);
      co_return;
    }
    lease_ = granted->id;
    clock_.Renew(begun, granted->ttl);
    fencing_ = written->value();
    held_since_ = Clock::now();
    Log(LogLevel::kInfo, "key held",
        {{"key", options_.key},
         {"fencing", std::to_string(fencing_)},
         {"ttl_ms", std::to_string(granted->ttl.count())}});
  }

  net::awaitable<void> Renew() {
    const TimePoint begun = Clock::now();
    const StoreLeaseId lease = *lease_;
    const StoreResult<GrantedLease> renewed = co_await store_.RenewLease(lease);
    if (!lease_) co_return;
    if (renewed.has_value()) {
      clock_.Renew(begun, renewed->ttl);
      co_return;
    }
    const bool ended = renewed.error() == StoreFault::kNotFound;
    if (!ended && clock_.MayAct(Clock::now())) co_return;
    Log(LogLevel::kWarn, "key lost",
        {{"key", options_.key}, {"fault", std::string(NameOf(renewed.error()))}});
    Forget();
  }

  void Forget() {
    lease_.reset();
    clock_.Drop();
  }

  net::awaitable<void> Wait(std::chrono::milliseconds time) {
    ErrorCode ignored;
    timer_.expires_after(time);
    co_await timer_.async_wait(net::redirect_error(net::use_awaitable, ignored));
  }

  Store& store_;
  Options options_;
  std::function<bool()> key_is_free_;
  net::steady_timer timer_;
  std::optional<StoreLeaseId> lease_;
  LeaseClock clock_;
  std::uint64_t fencing_ = 0;
  TimePoint held_since_{};
  bool stopped_ = false;
};

}  // namespace ridgehold
