// In-memory store with fault injection.

#pragma once

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>

#include "base/ids.h"
#include "control/state_store.h"
#include "net/timer.h"

namespace ridgehold::test {

/// Faults of the store or of one client's connection to it.
struct StoreFaults {
  bool down = false;        ///< all calls are refused
  double lost_answers = 0;  ///< fraction of calls that are applied but not answered
  double late_writes = 0;  ///< fraction of writes that are applied after `late_by` and not answered
  std::chrono::milliseconds late_by{150};
  /// If above zero, listings and watches read the store at once, but their answers arrive this much
  /// later.
  std::chrono::milliseconds late_reads{0};
};

/// The content of the store, shared by its clients.
class MemoryTable {
 public:
  explicit MemoryTable(net::any_io_executor executor) : executor_(executor) {}

  net::any_io_executor executor() const { return executor_; }
  std::uint64_t revision() const { return revision_; }

  void Put(const std::string& key, const std::string& value, std::uint64_t lease = 0) {
    ++revision_;
    items_[key] = {key, value, StoreRevision(revision_), StoreLeaseId(lease)};
    history_.push_back({key, StoreRevision(revision_), items_[key]});
  }

  void Remove(const std::string& key) {
    if (items_.erase(key) == 0) return;
    history_.push_back({key, StoreRevision(++revision_), std::nullopt});
  }

  /// Drops the history, so that watches from earlier revisions fail.
  void ForgetHistory() {
    history_.clear();
    first_kept_ = revision_;
  }

  std::uint64_t Grant(std::chrono::milliseconds ttl) {
    const std::uint64_t id = ++last_lease_;
    leases_[id] = {Clock::now() + ttl, ttl};
    return id;
  }

  /// Returns the time to live, or nullopt if the lease has expired.
  std::optional<std::chrono::milliseconds> Renew(std::uint64_t id) {
    ExpireLeases();
    const auto found = leases_.find(id);
    if (found == leases_.end()) return std::nullopt;
    found->second.end = Clock::now() + found->second.ttl;
    return found->second.ttl;
  }

  void End(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease.value() == id) keys.push_back(key);
    }
    for (const std::string& key : keys) Remove(key);
  }

  void ExpireLeases() {
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : leases_) {
      if (Clock::now() >= lease.end) ended.push_back(id);
    }
    for (const std::uint64_t id : ended) End(id);
  }

  StoreResult<StoreRevision> Apply(const StoreTransaction& transaction) {
    ExpireLeases();
    for (const StoreCondition& condition : transaction.conditions) {
      const auto found = items_.find(condition.key);
      const StoreRevision now = found == items_.end() ? StoreRevision(0) : found->second.revision;
      if (now != condition.revision) return StoreError::kConditionFailed;
    }
    for (const StorePut& put : transaction.puts) {
      if (put.lease.value() != 0 && !leases_.contains(put.lease.value())) {
        return StoreError::kNotFound;
      }
    }
    for (const StorePut& put : transaction.puts) Put(put.key, put.value, put.lease.value());
    for (const std::string& key : transaction.removals) Remove(key);
    return StoreRevision(revision_);
  }

  const std::map<std::string, StoreItem>& items() {
    ExpireLeases();
    return items_;
  }

  /// Returns the events after `revision`, or nullopt if some are no longer kept.
  std::optional<std::vector<StoreEvent>> After(StoreRevision revision) {
    ExpireLeases();
    if (revision.value() < first_kept_) return std::nullopt;
    std::vector<StoreEvent> events;
    for (const StoreEvent& event : history_) {
      if (event.revision > revision) events.push_back(event);
    }
    return events;
  }

 private:
  struct Lease {
    TimePoint end{};
    std::chrono::milliseconds ttl{0};
  };

  net::any_io_executor executor_;
  std::map<std::string, StoreItem> items_;
  std::deque<StoreEvent> history_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 0;
  std::uint64_t first_kept_ = 0;
  std::uint64_t last_lease_ = 0;
};

/// One client of a MemoryTable; satisfies StateStore.
class MemoryStore {
 public:
  MemoryStore(MemoryTable& table, std::uint32_t seed) : table_(table), random_(seed) {}

  StoreFaults faults;
  int watches = 0;   ///< number of Watch() calls
  int listings = 0;  ///< number of List() calls
  std::size_t page_size = 100'000;

  net::awaitable<StoreResult<StorePage>> List(std::string prefix, std::string after,
                                              ListOptions /*options*/ = {}) {
    ++listings;
    co_await Pause(std::chrono::milliseconds(1));
    if (faults.down) co_return StoreError::kUnavailable;
    StorePage page;
    for (const auto& [key, item] : table_.items()) {
      if (!key.starts_with(prefix) || key <= after) continue;
      page.has_more = page.items.size() == page_size;
      if (page.has_more) break;
      page.items.push_back(item);
    }
    page.revision = StoreRevision(table_.revision());
    co_await Pause(faults.late_reads);
    co_return page;
  }

  net::awaitable<StoreResult<WatchResult>> Watch(std::string /*prefix*/, StoreRevision after,
                                                 std::chrono::milliseconds wait) {
    ++watches;
    const TimePoint until = Clock::now() + wait;
    for (;;) {
      co_await Pause(std::chrono::milliseconds(1));
      if (faults.down) co_return StoreError::kUnavailable;
      const auto events = table_.After(after);
      if (!events) co_return StoreError::kCompacted;
      const bool late = faults.late_reads > std::chrono::milliseconds::zero();
      if (events->empty() && !late && Clock::now() < until) continue;
      WatchResult answer;
      answer.events = *events;
      answer.revision = StoreRevision(table_.revision());
      co_await Pause(faults.late_reads);
      co_return answer;
    }
  }

  net::awaitable<StoreResult<StoreRevision>> Commit(StoreTransaction transaction) {
    co_await Pause(std::chrono::milliseconds(1));
    if (faults.down) co_return StoreError::kUnavailable;
    if (Chance(faults.late_writes)) {
      co_await Pause(faults.late_by);
      table_.Apply(transaction);
      co_return StoreError::kNoAnswer;
    }
    const StoreResult<StoreRevision> result = table_.Apply(transaction);
    if (Chance(faults.lost_answers)) co_return StoreError::kNoAnswer;
    co_return result;
  }

  net::awaitable<StoreResult<LeaseGrant>> GrantLease(std::chrono::milliseconds ttl) {
    co_await Pause(std::chrono::milliseconds(1));
    if (faults.down) co_return StoreError::kUnavailable;
    const LeaseGrant lease{StoreLeaseId(table_.Grant(ttl)), ttl};
    if (Chance(faults.lost_answers)) co_return StoreError::kNoAnswer;
    co_return lease;
  }

  net::awaitable<StoreResult<LeaseGrant>> RenewLease(StoreLeaseId lease) {
    co_await Pause(std::chrono::milliseconds(1));
    if (faults.down) co_return StoreError::kUnavailable;
    const auto ttl = table_.Renew(lease.value());
    if (Chance(faults.lost_answers)) co_return StoreError::kNoAnswer;
    if (!ttl) co_return StoreError::kNotFound;
    co_return LeaseGrant{lease, *ttl};
  }

  net::awaitable<StoreResult<StoreLeaseId>> RevokeLease(StoreLeaseId lease) {
    co_await Pause(std::chrono::milliseconds(1));
    if (faults.down) co_return StoreError::kUnavailable;
    table_.End(lease.value());
    if (Chance(faults.lost_answers)) co_return StoreError::kNoAnswer;
    co_return lease;
  }

 private:
  bool Chance(double probability) {
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }

  net::awaitable<void> Pause(std::chrono::milliseconds time) {
    Timer timer(table_.executor(), time);
    ErrorCode ignored;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
  }

  MemoryTable& table_;
  std::mt19937 random_;
};

}  // namespace ridgehold::test
