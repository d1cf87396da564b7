// Keeps the records of releases in the store up to date.

#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control/instance_records.h"
#include "control/state_store.h"
#include "log/log.h"
#include "net/wait.h"
#include "peers/origin_record_codec.h"

namespace ridgehold {

/// Writes a record when what this gateway knows differs from it. All gateways notice a change at
/// about the same time, so they write in the order of their membership keys, and each only if the
/// change is not recorded by then. Runs on one executor.
template <StateStore Store>
class ReleaseRecorder {
 public:
  struct Options {
    /// Returns the services whose streams may be resumed.
    std::function<std::vector<ServiceId>()> services;
    /// Returns what the record of a service should hold.
    std::function<ReleaseRecord(const ServiceId&)> record_of;
    /// Called when the store has no record of a service.
    std::function<void(const ServiceId&)> on_missing;
    /// Returns whether the local copy of the store is kept up to date.
    std::function<bool()> connected;
    /// Returns this gateway's place among the members.
    std::function<std::size_t()> rank;
    std::chrono::milliseconds poll_interval{100};
    std::chrono::milliseconds delay_per_rank{100};
    std::size_t max_rank = 10;
  };

  ReleaseRecorder(Store& store, net::any_io_executor executor, const InstanceRecords& records,
                  Options options)
      : store_(store), records_(records), options_(std::move(options)), timer_(executor) {}

  net::awaitable<void> Run() {
    while (!stopped_) {
      // A gateway without the store has no call to spare for it.
      if (options_.connected()) co_await WriteDue();
      co_await WaitFor(timer_, options_.poll_interval);
    }
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

 private:
  net::awaitable<void> WriteDue() {
    const std::vector<ServiceId> services = options_.services();
    for (const ServiceId& service : services) {
      const StoreItem* stored = records_.Find(kReleaseRecordPrefix + service.value());
      if (stored == nullptr) options_.on_missing(service);
      ReleaseRecord record = Bounded(options_.record_of(service));
      const bool differs =
          !record.releases.empty() &&
          (stored == nullptr || DecodeReleaseRecord(stored->value) != std::optional(record));
      if (!differs) {
        differs_since_.erase(service);
        continue;
      }
      const TimePoint now = Clock::now();
      const TimePoint since = differs_since_.try_emplace(service, now).first->second;
      const auto rank = static_cast<int>(std::min(options_.rank(), options_.max_rank));
      if (now - since < rank * options_.delay_per_rank) continue;
      const StoreRevision expected = stored == nullptr ? StoreRevision(0) : stored->revision;
      co_await Write(service, std::move(record), expected);
    }
  }

  net::awaitable<void> Write(ServiceId service, ReleaseRecord record, StoreRevision expected) {
    StoreTransaction transaction;
    std::string key = kReleaseRecordPrefix + service.value();
    transaction.conditions.push_back({key, expected});
    transaction.puts.push_back({std::move(key), EncodeReleaseRecord(record), StoreLeaseId()});
    const StoreResult<StoreRevision> written = co_await store_.Commit(std::move(transaction));
    // The local copy changes with the next update; a write that failed is then due again.
    differs_since_[service] = Clock::now() + kRetryDelay;
    std::string releases;
    for (const ReleaseId& release : record.releases) releases += release.value() + " ";
    Log(LogLevel::kInfo, "releases recorded",
        {{"service", service.value()},
         {"releases", releases},
         {"complete", record.complete ? "yes" : "no"},
         {"result", written.has_value() ? "written" : std::string(NameOf(written.error()))}});
  }

  static constexpr std::chrono::milliseconds kRetryDelay{500};

  Store& store_;
  const InstanceRecords& records_;
  Options options_;
  Timer timer_;
  std::map<ServiceId, TimePoint> differs_since_;
  bool stopped_ = false;
};

}  // namespace ridgehold
