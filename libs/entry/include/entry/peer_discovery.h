// Finds the instances from which a starting instance copies the store.

#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "control/call_patience.h"
#include "control/instance_records.h"
#include "control/state_store.h"
#include "entry/listing_gate.h"
#include "log/log.h"
#include "net/timer.h"
#include "net/wait.h"

namespace ridgehold {

/// Listing a large store is for few: thousands of registrations, read by each of hundreds of
/// instances that start together, take the store's link longer than the start may. A starting
/// instance reads only the members of its zone and then waits for the copy of one that precedes it;
/// ListingGate tells who lists the store. Runs on one executor.
template <StateStore Store>
class PeerDiscovery {
 public:
  struct Options {
    ZoneId zone;
    /// Instances of a fleet that starts together register within 0.3 s of each other.
    std::chrono::milliseconds read_interval{80};
    int max_reads = 4;
    /// A zone with more members than this belongs to a fleet for which the store is large.
    std::size_t max_small_zone = 32;
    ListingGate::Options gate;
  };

  /// `position` returns the instance's place in the tree of relays by the records, and `has_copy`
  /// whether it has a copy of the store.
  PeerDiscovery(Store& store, net::any_io_executor executor, InstanceRecords& records,
                Options options, std::function<RelayPosition()> position,
                std::function<bool()> has_copy)
      : store_(store),
        records_(records),
        options_(std::move(options)),
        position_(std::move(position)),
        has_copy_(std::move(has_copy)),
        gate_(options_.gate, std::random_device{}()),
        timer_(executor),
        started_(Clock::now()) {}

  /// Reads the members of the zone. Returns kLarge if the fleet is so large that the store should
  /// not be listed before Search().
  net::awaitable<StoreResult<StoreSize>> Survey() {
    // While others run already, a stale read finds them, too.
    const std::string prefix = MemberPrefixOf(options_.zone);
    const std::optional<StoreError> error = co_await ReadMembers(prefix, ReadConsistency::kStale);
    if (error) co_return *error;
    const bool is_large = CountZoneMembers() > options_.max_small_zone;
    co_return is_large ? StoreSize::kLarge : StoreSize::kUnknown;
  }

  /// Reads the members until there is one to follow: those of the zone, then all. Call it after a
  /// Survey() that succeeded. Ends after a few reads, also failed ones.
  net::awaitable<void> Search() {
    if (searching_) co_return;
    searching_ = true;
    started_ = Clock::now();
    reads_ = 1;
    while (reads_ < options_.max_reads && !has_copy_() && !position_().upstream) {
      co_await WaitFor(timer_, options_.read_interval);
      const bool all = reads_ >= options_.max_reads / 2;
      const std::string prefix = all ? kMemberPrefix : MemberPrefixOf(options_.zone);
      co_await ReadMembers(prefix, ReadConsistency::kLatest);
      ++reads_;
    }
    finished_ = true;
    LogResult();
  }

  /// Ends a search that cannot go on.
  void GiveUp() { finished_ = true; }

  /// Whether to wait for a peer's copy instead of listing a large store. Search() must have been
  /// spawned.
  bool AwaitsCopy(TimePoint now) {
    if (!finished_) return true;
    const RelayPosition position = position_();
    ListingDemand demand;
    demand.has_relay = position.upstream.has_value();
    demand.depth = position.depth;
    demand.zone_members = CountZoneMembers();
    demand.waited = std::chrono::duration_cast<Duration>(now - started_);
    return !gate_.MayList(demand, now);
  }

 private:
  std::size_t CountZoneMembers() const {
    return static_cast<std::size_t>(
        std::ranges::count(records_.Members(), options_.zone, &Member::zone));
  }

  void LogResult() const {
    const RelayPosition position = position_();
    const auto duration =
        std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - started_);
    Log(LogLevel::kInfo, "members read",
        {{"count", std::to_string(records_.Members().size())},
         {"reads", std::to_string(reads_)},
         {"failed_reads", std::to_string(failed_reads_)},
         {"duration_ms", std::to_string(duration.count())},
         {"relay", position.upstream ? position.upstream->address : ""},
         {"depth", std::to_string(position.depth)}});
  }

  /// Returns the error of the page that failed, if any.
  net::awaitable<std::optional<StoreError>> ReadMembers(std::string prefix,
                                                        ReadConsistency consistency) {
    std::string after;
    for (bool more = true; more && !has_copy_();) {
      const ListOptions options{consistency, patience_.timeout_factor()};
      const StoreResult<StorePage> page = co_await store_.List(prefix, after, options);
      if (page.has_error()) {
        ++failed_reads_;
        patience_.RecordFailure(page.error());
        co_return page.error();
      }
      patience_.RecordSuccess();
      if (has_copy_()) break;
      for (const StoreItem& item : page->items) {
        if (item.key.starts_with(kMemberPrefix)) records_.Put(item);
      }
      more = page->has_more && !page->items.empty();
      if (more) after = page->items.back().key;
    }
    co_return std::nullopt;
  }

  Store& store_;
  InstanceRecords& records_;
  Options options_;
  std::function<RelayPosition()> position_;
  std::function<bool()> has_copy_;
  ListingGate gate_;
  Timer timer_;
  TimePoint started_;
  CallPatience patience_;
  int reads_ = 0;  ///< with the survey
  int failed_reads_ = 0;
  bool searching_ = false;
  bool finished_ = false;
};

}  // namespace ridgehold
