// Finds the instances from which a starting instance copies the store.

#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <utility>

#include "control/instance_records.h"
#include "control/state_store.h"
#include "log/log.h"
#include "net/timer.h"
#include "net/wait.h"

namespace ridgehold {

/// Listing a large store is for few: thousands of registrations, read by each of hundreds of
/// instances that start together, take the store's link longer than the start may. A starting
/// instance reads only the members' keys and then waits for the copy of one that precedes it; the
/// first instance, and any whose wait ends in vain, list the store. Runs on one executor.
template <StateStore Store>
class PeerDiscovery {
 public:
  struct Options {
    /// Instances of a fleet that starts together register within 0.3 s of each other.
    std::chrono::milliseconds read_interval{80};
    int max_reads = 4;
    /// Maximum wait for a copy. One level of relays passes a copy of a large fleet on within a
    /// second.
    std::chrono::milliseconds copy_wait{2'000};
    std::chrono::milliseconds copy_wait_per_level{1'000};
  };

  /// `position` returns the instance's place in the tree of relays by the records, and `has_copy`
  /// whether it has a copy of the store.
  PeerDiscovery(Store& store, net::any_io_executor executor, InstanceRecords& records,
                Options options, std::function<RelayPosition()> position,
                std::function<bool()> has_copy)
      : store_(store),
        records_(records),
        options_(options),
        position_(std::move(position)),
        has_copy_(std::move(has_copy)),
        timer_(executor),
        started_(Clock::now()) {}

  /// Reads the members until there is one to follow.
  net::awaitable<void> Run() {
    started_ = Clock::now();
    for (int read = 0; read < options_.max_reads && !has_copy_() && !position_().upstream; ++read) {
      if (read > 0) co_await WaitFor(timer_, options_.read_interval);
      // While others run already, a stale read finds them, too.
      co_await ReadMembers(read == 0 ? ReadConsistency::kStale : ReadConsistency::kLatest);
    }
    finished_ = true;
    LogResult();
  }

  /// Whether to wait for a peer's copy instead of listing the store.
  bool AwaitsCopy(TimePoint now) const {
    if (!finished_) return now - started_ < options_.copy_wait;
    const RelayPosition position = position_();
    if (!position.upstream) return false;
    const auto levels = static_cast<int>(position.depth);
    return now - started_ < options_.copy_wait + levels * options_.copy_wait_per_level;
  }

 private:
  void LogResult() const {
    const RelayPosition position = position_();
    const auto duration =
        std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - started_);
    Log(LogLevel::kInfo, "members read",
        {{"count", std::to_string(records_.Members().size())},
         {"failed_reads", std::to_string(failed_reads_)},
         {"duration_ms", std::to_string(duration.count())},
         {"relay", position.upstream ? position.upstream->address : ""},
         {"depth", std::to_string(position.depth)}});
  }

  net::awaitable<void> ReadMembers(ReadConsistency consistency) {
    std::string after;
    for (bool more = true; more;) {
      const StoreResult<StorePage> page = co_await store_.List(kMemberPrefix, after, consistency);
      if (page.has_error()) ++failed_reads_;
      if (page.has_error() || has_copy_()) co_return;
      for (const StoreItem& item : page->items) {
        if (item.key.starts_with(kMemberPrefix)) records_.Put(item);
      }
      more = page->has_more && !page->items.empty();
      if (more) after = page->items.back().key;
    }
  }

  Store& store_;
  InstanceRecords& records_;
  Options options_;
  std::function<RelayPosition()> position_;
  std::function<bool()> has_copy_;
  Timer timer_;
  TimePoint started_;
  int failed_reads_ = 0;
  bool finished_ = false;
};

}  // namespace ridgehold
