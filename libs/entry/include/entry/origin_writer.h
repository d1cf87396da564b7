// Writes the origins of streams to the store, for the time after an end of all processes.

#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control/instance_records.h"
#include "control/state_store.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "net/wait.h"
#include "peers/origin_record_codec.h"

namespace ridgehold {

/// Collects origins for a while under one key, which is written again as they become more and
/// lapses with its lease once their streams can no longer be resumed. Runs on one executor.
template <StateStore Store>
class OriginWriter {
 public:
  struct Options {
    std::string process;  ///< differs from that of every other process
    /// Returns the origins that are to be stored and were not returned before.
    std::function<OriginBatch()> take;
    /// Returns the time between two writes.
    std::function<std::chrono::milliseconds()> interval;
    /// Time for which origins are collected under one key.
    std::chrono::milliseconds key_time{5'000};
    /// How long after its start a stream may be resumed.
    std::chrono::milliseconds stream_lifetime{0};
  };

  OriginWriter(Store& store, net::any_io_executor executor, Metrics& metrics, Options options)
      : store_(store), metrics_(metrics), options_(std::move(options)), timer_(executor) {}

  net::awaitable<void> Run() {
    while (!stopped_) {
      Collect();
      if (has_unwritten_) co_await Write();
      co_await WaitFor(timer_, options_.interval());
    }
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

 private:
  void Collect() {
    const TimePoint now = Clock::now();
    if (lease_ && !has_unwritten_ && now - begun_ >= options_.key_time) {
      lease_.reset();
      batch_.clear();
    }
    for (auto& [release, streams] : options_.take()) {
      std::vector<StreamHash>& collected = batch_[release];
      collected.insert(collected.end(), streams.begin(), streams.end());
      has_unwritten_ = true;
    }
  }

  net::awaitable<void> Write() {
    const TimePoint begun = Clock::now();
    if (!lease_) {
      const StoreResult<LeaseGrant> granted =
          co_await store_.GrantLease(options_.key_time + options_.stream_lifetime);
      if (granted.has_error()) co_return DropExpired(begun);
      lease_ = granted->id;
      begun_ = begun;
      ++number_;
    }
    StoreTransaction transaction;
    transaction.puts.push_back({kOriginPrefix + options_.process + "/" + std::to_string(number_),
                                EncodeOriginBatch(batch_), *lease_});
    has_unwritten_ = false;
    const StoreResult<StoreRevision> written = co_await store_.Commit(std::move(transaction));
    const std::string result =
        written.has_value() ? "written" : std::string(NameOf(written.error()));
    metrics_.GetCounter("ridgehold_origin_writes", "result=\"" + result + "\"").Add();
    if (written.has_value()) {
      failing_since_.reset();
      co_return;
    }
    has_unwritten_ = true;
    if (written.error() == StoreError::kNotFound) lease_.reset();
    DropExpired(begun);
  }

  /// Forgets origins that could not be written for so long that their streams have ended.
  void DropExpired(TimePoint now) {
    if (!failing_since_) failing_since_ = now;
    if (now - *failing_since_ < options_.stream_lifetime) return;
    Log(LogLevel::kWarn, "origins of streams not stored", {});
    batch_.clear();
    has_unwritten_ = false;
    failing_since_.reset();
  }

  Store& store_;
  Metrics& metrics_;
  Options options_;
  Timer timer_;
  OriginBatch batch_;  ///< of the current key
  std::optional<StoreLeaseId> lease_;
  TimePoint begun_{};  ///< when the lease was granted
  std::uint64_t number_ = 0;
  std::optional<TimePoint> failing_since_;
  bool has_unwritten_ = false;
  bool stopped_ = false;
};

}  // namespace ridgehold
