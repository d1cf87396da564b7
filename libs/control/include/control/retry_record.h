// A record in the store, under a lease, that this process may have sent retries.

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
#include "net/update_signal.h"
#include "net/wait.h"
#include "task/spawn.h"

namespace ridgehold {

/// Is written when it is first needed and renewed while retries go on, so a fleet whose backend
/// servers are sound makes no calls for it. Is never released: a later process of the instance must
/// find it while the retries of this one count. Runs on one executor.
template <StateStore Store>
class RetryRecord {
 public:
  struct Options {
    std::string key;
    std::string value;  ///< differs from that of every other process
    /// For how long a retry counts after it was sent.
    std::function<std::chrono::milliseconds()> counted_span;
  };

  RetryRecord(Store& store, net::any_io_executor executor, Options options)
      : store_(store),
        executor_(executor),
        options_(std::move(options)),
        created_(Clock::now()),
        timer_(executor),
        changed_(executor) {}

  const std::string& key() const { return options_.key; }
  const std::string& value() const { return options_.value; }
  /// When this process started to run.
  TimePoint created() const { return created_; }

  /// Whether the record certainly outlasts the time for which a retry sent at `now` counts.
  bool Covers(TimePoint now) const {
    return lease_ && clock_.MayAct(now + options_.counted_span());
  }

  /// Writes or renews the record if necessary. Returns whether it covers retries sent now; waits at
  /// most until `deadline`.
  net::awaitable<bool> Acquire(TimePoint deadline) {
    const TimePoint now = Clock::now();
    last_used_ = now;
    if (!running_ && now >= next_try_) {
      running_ = refreshing_ = true;
      Spawn(executor_, "retry record", Keep(), [this] { running_ = refreshing_ = false; });
    }
    if (!Covers(now) && refreshing_) co_await changed_.WaitUntil(deadline);
    co_return Covers(Clock::now());
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

 private:
  static constexpr std::chrono::milliseconds kRetryInterval{500};
  /// Renewals within the counted span. The lease is twice that span, of which its clock trusts
  /// four fifths, so three renewals in a row may fail.
  static constexpr int kRenewalsPerSpan = 5;

  /// Keeps the record until no retry was sent for the time for which one counts.
  net::awaitable<void> Keep() {
    co_await Refresh();
    while (!stopped_ && lease_ && Clock::now() - last_used_ < options_.counted_span()) {
      co_await WaitFor(timer_, options_.counted_span() / kRenewalsPerSpan);
      if (!stopped_) co_await Refresh();
    }
    running_ = false;
    if (!Covers(Clock::now())) next_try_ = Clock::now() + kRetryInterval;
  }

  net::awaitable<void> Refresh() {
    refreshing_ = true;
    if (lease_) co_await Renew();
    if (!lease_) co_await Write();
    refreshing_ = false;
    changed_.Notify();
  }

  net::awaitable<void> Renew() {
    const TimePoint start = Clock::now();
    const StoreResult<LeaseGrant> renewed = co_await store_.RenewLease(*lease_);
    if (renewed.has_value()) {
      clock_.Renew(start, renewed->ttl);
    } else if (renewed.error() == StoreError::kNotFound) {
      lease_.reset();
      clock_.Drop();
    }
  }

  net::awaitable<void> Write() {
    const TimePoint start = Clock::now();
    // The record of an earlier process stays for as long as its retries may count.
    const bool may_overwrite = start - created_ >= options_.counted_span();
    const auto expected = may_overwrite ? std::nullopt : std::optional(StoreRevision(0));
    const std::chrono::milliseconds ttl = 2 * options_.counted_span();
    const StoreResult<LeasedPut> written =
        co_await PutUnderLease(store_, options_.key, options_.value, ttl, expected);
    if (written.has_error()) {
      Log(LogLevel::kInfo, "retry record not written",
          {{"key", options_.key}, {"fault", std::string(NameOf(written.error()))}});
      co_return;
    }
    lease_ = written->lease.id;
    clock_.Renew(start, written->lease.ttl);
    Log(LogLevel::kInfo, "retry record written",
        {{"key", options_.key}, {"ttl_ms", std::to_string(written->lease.ttl.count())}});
  }

  Store& store_;
  net::any_io_executor executor_;
  Options options_;
  TimePoint created_;
  Timer timer_;
  UpdateSignal changed_;
  std::optional<StoreLeaseId> lease_;
  LeaseClock clock_;
  TimePoint last_used_{};
  TimePoint next_try_{};
  bool running_ = false;     ///< whether Keep() runs
  bool refreshing_ = false;  ///< whether a call to the store is in progress
  bool stopped_ = false;
};

}  // namespace ridgehold
