// Keeps a daemon's configuration in step with the platform's store, and proposes changes.

#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/random_id.h"
#include "base/result.h"
#include "config/change_log.h"
#include "config/change_status.h"
#include "config/stored_config.h"
#include "kv/kv_store.h"
#include "ridgehold.pb.h"

namespace ridgehold {

/// Where a change that came into force was heard of.
enum class ChangeOrigin : std::uint8_t { kStore, kPeer };

/// How the store compares with this daemon after a refresh.
enum class StoreView : std::uint8_t { kInStep, kUnreachable, kDiverged };

/// Thread-safe. Lock order: `submit_mutex_`, then `mutex_`; no lock is held
/// while the store is called, but for `submit_mutex_`, which lets one change
/// of this daemon through at a time.
template <KvStore Store>
class ConfigKeeper {
 public:
  struct Options {
    std::chrono::milliseconds submit_deadline{3'000};
    std::chrono::milliseconds retry_pause{50};
    std::uint64_t snapshot_every = 64;
  };

  /// Called with what has just come into force, without `mutex_` held.
  using OnApplied = std::function<void(const wire::Changes&, ChangeOrigin)>;

  ConfigKeeper(Store& store, Options options, OnApplied on_applied)
      : store_(store), options_(options), on_applied_(std::move(on_applied)) {}

  /// Stores a change and puts it in force here. Fails with
  ///   kRevisionConflict  not stored: `expected` is not in force any more;
  ///   kInvalidCommand, kSyntax  not stored: the script is at fault;
  ///   kPlatformUnavailable, kStaleStore  not stored;
  ///   kUnresolvedChange  unknown yet; the detail is the change's id.
  Result<AcceptedChange> Submit(const std::string& script, std::optional<Revision> expected,
                                const std::string& author) {
    const std::lock_guard submit_lock(submit_mutex_);
    if (!ResolvePendingLocked()) {
      return Fail(ResultCode::kPlatformUnavailable, "an earlier change is not resolved yet");
    }
    const ChangeId id(RandomId());
    const auto deadline = Clock::now() + options_.submit_deadline;
    while (true) {
      BOOST_LEAF_AUTO(record, Propose(script, id, expected, author));
      switch (CommitUntil(record, deadline)) {
        case Landed::kYes:
          return AcceptedChange{id, Revision(record.revision())};
        case Landed::kNo:
          return Fail(ResultCode::kPlatformUnavailable, "nothing was stored");
        case Landed::kStale:
          return Fail(ResultCode::kStaleStore, "the store's history is not this daemon's");
        case Landed::kUnknown:
          SetPending(record);
          return Fail(ResultCode::kUnresolvedChange, id.value());
        case Landed::kRaceLost:
          // Propose again on top of the winner's change, if it could be read.
          if (revision().value() >= record.revision()) break;
          if (Clock::now() >= deadline) {
            return Fail(ResultCode::kPlatformUnavailable, "the store's changes cannot be read");
          }
          Pause();
      }
    }
  }

  /// Settles a change whose answer was lost, if there is one and the store
  /// answers. Returns whether none is left.
  bool ResolvePending() {
    const std::lock_guard submit_lock(submit_mutex_);
    return ResolvePendingLocked();
  }

  /// Reads what the store has accepted since; repairs a store that was
  /// restored from an older copy.
  StoreView Refresh() {
    return ValueOr([&]() -> Result<StoreView> { return DoRefresh(); },
                   [](const Failure&) { return StoreView::kUnreachable; });
  }

  /// Takes changes from a peer. Returns whether changes in between are missing.
  bool TakeFromPeer(const wire::Changes& changes) {
    return TakeAll(changes, ChangeOrigin::kPeer) == Offer::kGap;
  }

  Revision revision() const {
    const std::lock_guard lock(mutex_);
    return log_.revision();
  }

  std::string digest() const {
    const std::lock_guard lock(mutex_);
    return log_.digest();
  }

  std::shared_ptr<const Config> config() const {
    const std::lock_guard lock(mutex_);
    return log_.config();
  }

  /// What a peer at `revision` lacks.
  wire::Changes ChangesAfter(Revision revision) const {
    const std::lock_guard lock(mutex_);
    wire::Changes changes;
    const auto records = log_.ChangesAfter(revision);
    if (!records) {
      *changes.mutable_snapshot() = log_.MakeSnapshot();
      return changes;
    }
    for (const auto& record : *records) *changes.add_records() = record;
    return changes;
  }

  ChangeStatus StatusOf(const ChangeId& id) const {
    const std::lock_guard lock(mutex_);
    if (const auto* record = log_.Find(id)) {
      return {ChangeState::kInForce, Revision(record->revision())};
    }
    if (pending_ && pending_->id() == id.value()) return {ChangeState::kUnresolved, {}};
    if (refused_.contains(id)) return {ChangeState::kRefused, {}};
    return {};
  }

 private:
  enum class Landed : std::uint8_t { kYes, kNo, kRaceLost, kUnknown, kStale };

  Result<wire::ChangeRecord> Propose(const std::string& script, const ChangeId& id,
                                     std::optional<Revision> expected,
                                     const std::string& author) const {
    const std::lock_guard lock(mutex_);
    if (expected && *expected != log_.revision()) {
      return Fail(ResultCode::kRevisionConflict, DescribeSince(*expected));
    }
    BOOST_LEAF_AUTO(record, log_.Propose(script, id, author));
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    record.set_accepted_unix_ms(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count()));
    return record;
  }

  /// Tells the loser of a race what changed. Needs `mutex_`.
  std::string DescribeSince(Revision expected) const {
    std::string text = "expected revision " + std::to_string(expected.value()) + ", in force is " +
                       std::to_string(log_.revision().value());
    const auto records = log_.ChangesAfter(expected);
    if (!records) return text;
    for (const auto& record : *records) {
      text += "\n" + std::to_string(record.revision()) + " by " + record.author() + ": " +
              record.script();
    }
    return text;
  }

  /// Commits the same record again and again while its outcome is unknown;
  /// the compare on the head makes the repeats harmless.
  Landed CommitUntil(const wire::ChangeRecord& record, TimePoint deadline) {
    bool may_have_landed = false;
    while (true) {
      const Landed landed = CommitOnce(record);
      if (landed == Landed::kUnknown) may_have_landed = true;
      const bool settled = landed != Landed::kUnknown && landed != Landed::kNo;
      if (settled) return landed;
      if (!may_have_landed) return Landed::kNo;
      if (Clock::now() >= deadline) return Landed::kUnknown;
      Pause();
    }
  }

  Landed CommitOnce(const wire::ChangeRecord& record) {
    const StoredHead base{record.revision() - 1, record.previous_digest()};
    const Landed landed = ValueOr(
        [&]() -> Result<Landed> {
          BOOST_LEAF_AUTO(answer, store_.Commit(AcceptTransaction(base, record)));
          return answer.succeeded ? Landed::kYes : JudgeRefusal(base, record, answer);
        },
        [](const Failure& failure) {
          return failure.code == ResultCode::kPlatformUnavailable ? Landed::kNo : Landed::kUnknown;
        });
    if (landed == Landed::kYes) Publish(record);
    if (landed == Landed::kRaceLost || landed == Landed::kStale) {
      const StoreView view = Refresh();
      if (landed == Landed::kStale && view == StoreView::kInStep) return Landed::kRaceLost;
    }
    return landed;
  }

  static Landed JudgeRefusal(const StoredHead& base, const wire::ChangeRecord& record,
                             const KvTransactionAnswer& answer) {
    std::optional<std::string> head_value;
    for (const KvPair& pair : answer.reads) {
      if (pair.key == HeadKey()) head_value = pair.value;
      if (pair.key != ChangeKey(record.revision())) continue;
      wire::ChangeRecord stored;
      if (stored.ParseFromString(pair.value) && stored.digest() == record.digest()) {
        return Landed::kYes;  // an earlier attempt had landed
      }
    }
    const auto head = ParseHead(head_value);
    if (!head || head->revision <= base.revision) return Landed::kStale;
    return Landed::kRaceLost;
  }

  bool ResolvePendingLocked() {
    std::optional<wire::ChangeRecord> record;
    {
      const std::lock_guard lock(mutex_);
      record = pending_;
    }
    if (!record) return true;
    const Landed landed = CommitOnce(*record);
    if (landed == Landed::kUnknown || landed == Landed::kNo) return false;
    const std::lock_guard lock(mutex_);
    if (log_.Find(ChangeId(record->id())) == nullptr) refused_.insert(ChangeId(record->id()));
    pending_.reset();
    return true;
  }

  void SetPending(const wire::ChangeRecord& record) {
    const std::lock_guard lock(mutex_);
    pending_ = record;
  }

  void Publish(const wire::ChangeRecord& record) {
    wire::Changes changes;
    *changes.add_records() = record;
    TakeAll(changes, ChangeOrigin::kStore);
    if (record.revision() % options_.snapshot_every == 0) {
      ValueOr([&]() -> Result<void> { return StoreSnapshot(); }, [](const Failure&) {});
    }
  }

  /// Returns kApplied if anything came into force, else the last verdict.
  Offer TakeAll(const wire::Changes& changes, ChangeOrigin origin) {
    wire::Changes applied;
    Offer verdict = Offer::kKnown;
    {
      const std::lock_guard lock(mutex_);
      if (changes.has_snapshot()) {
        verdict = log_.Take(changes.snapshot());
        if (verdict == Offer::kApplied) *applied.mutable_snapshot() = changes.snapshot();
      }
      for (const auto& record : changes.records()) {
        verdict = log_.Take(record);
        if (verdict == Offer::kApplied) *applied.add_records() = record;
      }
    }
    const bool any = applied.has_snapshot() || applied.records_size() > 0;
    if (any && on_applied_) on_applied_(applied, origin);
    return any && verdict != Offer::kGap ? Offer::kApplied : verdict;
  }

  Result<StoreView> DoRefresh() {
    BOOST_LEAF_AUTO(pair, store_.Get(HeadKey()));
    const auto head = ParseHead(pair ? std::optional(pair->value) : std::nullopt);
    if (!head) return StoreView::kDiverged;
    Revision mine;
    std::optional<std::string> digest_there;
    {
      const std::lock_guard lock(mutex_);
      mine = log_.revision();
      digest_there = log_.DigestAt(Revision(head->revision));
    }
    if (head->revision > mine.value()) return ReadFrom(mine, *head);
    if (digest_there && *digest_there != head->digest) return StoreView::kDiverged;
    if (head->revision == mine.value()) return StoreView::kInStep;
    if (!digest_there && head->revision != 0) return StoreView::kDiverged;
    return Repair(*head);
  }

  Result<StoreView> ReadFrom(Revision mine, const StoredHead& head) {
    BOOST_LEAF_AUTO(pairs, store_.List(ChangeKey(mine.value() + 1), ChangeKey(head.revision + 1)));
    wire::Changes changes;
    if (pairs.size() != head.revision - mine.value()) {
      BOOST_LEAF_AUTO(snapshot, ReadSnapshot());
      if (snapshot) *changes.mutable_snapshot() = std::move(*snapshot);
    }
    for (const KvPair& pair : pairs) {
      wire::ChangeRecord record;
      if (record.ParseFromString(pair.value)) *changes.add_records() = std::move(record);
    }
    TakeAll(changes, ChangeOrigin::kStore);
    const std::lock_guard lock(mutex_);
    const bool reached = log_.revision().value() >= head.revision;
    return reached ? StoreView::kInStep : StoreView::kDiverged;
  }

  Result<std::optional<wire::Snapshot>> ReadSnapshot() {
    BOOST_LEAF_AUTO(pair, store_.Get(SnapshotHeadKey()));
    const auto head = ParseHead(pair ? std::optional(pair->value) : std::nullopt);
    if (!head || head->revision == 0) return std::optional<wire::Snapshot>();
    const std::string first = SnapshotPartKey(head->revision, 0);
    const std::string end = SnapshotPartKey(head->revision + 1, 0);
    BOOST_LEAF_AUTO(parts, store_.List(first, end));
    std::string bytes;
    for (const KvPair& part : parts) bytes += part.value;
    wire::Snapshot snapshot;
    if (!snapshot.ParseFromString(bytes)) return std::optional<wire::Snapshot>();
    return std::optional(std::move(snapshot));
  }

  /// Writes the whole configuration, so that new daemons need no long history.
  Result<void> StoreSnapshot() {
    wire::Snapshot snapshot;
    {
      const std::lock_guard lock(mutex_);
      snapshot = log_.MakeSnapshot();
    }
    std::size_t number = 0;
    for (const std::string& part : SplitSnapshot(snapshot)) {
      KvTransaction put;
      put.puts.push_back({SnapshotPartKey(snapshot.revision(), number++), part, std::nullopt});
      BOOST_LEAF_CHECK(store_.Commit(put));
    }
    return CommitSnapshotHead(snapshot);
  }

  Result<void> CommitSnapshotHead(const wire::Snapshot& snapshot) {
    KvTransaction transaction;
    transaction.puts.push_back(
        {SnapshotHeadKey(), FormatHead({snapshot.revision(), snapshot.digest()}), std::nullopt});
    // Changes below the snapshot before this one are needed by nobody.
    const std::uint64_t every = options_.snapshot_every;
    if (snapshot.revision() > 2 * every) {
      const std::uint64_t end = snapshot.revision() - 2 * every;
      const std::uint64_t first = end > every ? end - every : 0;
      for (std::uint64_t r = first + 1; r <= end; ++r) transaction.deletes.push_back(ChangeKey(r));
    }
    BOOST_LEAF_CHECK(store_.Commit(transaction));
    return {};
  }

  /// The store was restored from an older copy of this very history: writes
  /// what it lost.
  Result<StoreView> Repair(const StoredHead& store_head) {
    const wire::Changes lost = ChangesAfter(Revision(store_head.revision));
    KvTransaction transaction;
    transaction.compares.push_back({HeadKey(), store_head.revision == 0
                                                   ? std::nullopt
                                                   : std::optional(FormatHead(store_head))});
    StoredHead next = store_head;
    if (lost.has_snapshot()) {
      BOOST_LEAF_CHECK(StoreSnapshot());
      next = {lost.snapshot().revision(), lost.snapshot().digest()};
    }
    constexpr int kChangesPerWrite = 50;  // well below etcd's 128 operations
    for (const auto& record : lost.records()) {
      if (transaction.puts.size() == kChangesPerWrite) break;
      transaction.puts.push_back(
          {ChangeKey(record.revision()), record.SerializeAsString(), std::nullopt});
      next = {record.revision(), record.digest()};
    }
    transaction.puts.push_back({HeadKey(), FormatHead(next), std::nullopt});
    BOOST_LEAF_CHECK(store_.Commit(transaction));
    return DoRefresh();
  }

  void Pause() {
    std::unique_lock lock(pause_mutex_);
    pause_.wait_for(lock, options_.retry_pause);
  }

  Store& store_;
  Options options_;
  OnApplied on_applied_;

  std::mutex submit_mutex_;
  std::mutex pause_mutex_;
  std::condition_variable pause_;

  mutable std::mutex mutex_;
  ChangeLog log_;                              // guarded by mutex_
  std::optional<wire::ChangeRecord> pending_;  // guarded by mutex_
  std::set<ChangeId> refused_;                 // guarded by mutex_
};

}  // namespace ridgehold
