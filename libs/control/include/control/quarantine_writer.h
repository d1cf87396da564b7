// Writes quarantined requests to the store, for instances that start later.

#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "control/instance_records.h"
#include "control/leased_put.h"
#include "control/state_store.h"
#include "gateway/poison_guard.h"
#include "log/log.h"
#include "net/wait.h"

namespace ridgehold {

/// Prefix of the quarantines' keys, followed by the fingerprint of the request.
inline constexpr char kQuarantinePrefix[] = "ridgehold/quarantine/";

/// Encodes a quarantine's value: the instance that wrote it and the wall-clock time at which it
/// ends. A clock step of a few seconds is negligible against quarantines of minutes.
std::string EncodeQuarantine(const DaemonId& writer, std::chrono::system_clock::time_point until);
/// Returns nullopt if `value` is malformed.
std::optional<std::chrono::system_clock::time_point> DecodeQuarantine(const std::string& value);

/// Returns the fingerprint in a quarantine's key, or nullopt if `key` is not one.
std::optional<RequestFingerprint> ParseQuarantineKey(const std::string& key);

/// Writes each quarantine under a lease that expires with it. The instance that observed the
/// failure which triggered the quarantine writes at once. In case that instance has died, the other
/// members follow one after another in the order of their names, so that a large fleet does not
/// write all at once. Peers receive quarantines sooner by datagram; the store serves instances that
/// start later. Runs on one executor.
template <StateStore Store>
class QuarantineWriter {
 public:
  struct Options {
    DaemonId self;
    std::string member_key;  ///< of this instance
    std::chrono::milliseconds poll_interval{250};
    /// Delay before the first of the other members writes. A change of the store reaches all
    /// instances within one to two seconds.
    std::chrono::milliseconds takeover_delay{3'000};
    std::chrono::milliseconds delay_per_rank{500};
    std::size_t max_rank = 20;
    /// Quarantines with less time left are not written.
    std::chrono::milliseconds min_remaining{5'000};
    /// Time between two trials of a prompt part.
    std::chrono::milliseconds trial_interval{PoisonOptions{}.quarantine};
  };

  QuarantineWriter(Store& store, net::any_io_executor executor, PoisonGuard& guard,
                   const InstanceRecords& records, Options options)
      : store_(store),
        guard_(guard),
        records_(records),
        options_(std::move(options)),
        timer_(executor) {}

  net::awaitable<void> Run() {
    while (!stopped_) {
      co_await EraseReleased();
      co_await WriteDecided();
      co_await ClaimTrials();
      co_await WaitFor(timer_, options_.poll_interval);
    }
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

 private:
  static std::string KeyOf(RequestFingerprint request) {
    return kQuarantinePrefix + ToText(request);
  }

  net::awaitable<void> WriteDecided() {
    const TimePoint now = Clock::now();
    const std::vector<PoisonDetector::Quarantine> decided = guard_.UnstoredQuarantines(now);
    std::erase_if(first_seen_, [&](const auto& entry) {
      return std::ranges::find(decided, entry.first, &PoisonDetector::Quarantine::request) ==
             decided.end();
    });
    for (const PoisonDetector::Quarantine& quarantine : decided) {
      if (IsDue(quarantine, now)) co_await Write(quarantine);
    }
  }

  bool IsDue(const PoisonDetector::Quarantine& quarantine, TimePoint now) {
    if (quarantine.until - now < options_.min_remaining) return false;
    if (IsStored(quarantine.request)) return false;
    const TimePoint first_seen = first_seen_.try_emplace(quarantine.request, now).first->second;
    if (guard_.DecidedLocally(quarantine.request)) return true;
    const std::size_t rank = records_.MemberRank(options_.member_key);
    return now - first_seen >=
           options_.takeover_delay + std::min(rank, options_.max_rank) * options_.delay_per_rank;
  }

  bool IsStored(RequestFingerprint request) const {
    return records_.Find(KeyOf(request)) != nullptr;
  }

  net::awaitable<void> Write(PoisonDetector::Quarantine quarantine) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(quarantine.until - Clock::now());
    // A quarantine that was not written is due again.
    co_await Put(quarantine.request, remaining);
  }

  /// Returns whether the store confirmed that no other instance had written the key.
  net::awaitable<bool> Put(RequestFingerprint request, std::chrono::milliseconds remaining) {
    std::string value =
        EncodeQuarantine(options_.self, std::chrono::system_clock::now() + remaining);
    const std::optional<StoreRevision> absent = StoreRevision(0);
    const StoreResult<LeasedPut> written =
        co_await PutUnderLease(store_, KeyOf(request), std::move(value), remaining, absent);
    co_return written.has_value();
  }

  /// The instance that renews an ended quarantine may send one request, so all instances together
  /// send one for each quarantine, and none without the store.
  net::awaitable<void> ClaimTrials() {
    for (const RequestFingerprint part : guard_.TakeTrialsWanted()) {
      if (IsStored(part)) continue;
      const bool renewed = co_await Put(part, options_.trial_interval);
      if (renewed) guard_.GrantTrial(part, Clock::now());
    }
  }

  net::awaitable<void> EraseReleased() {
    for (const RequestFingerprint request : guard_.TakeReleased()) to_erase_[request] = 0;
    for (auto at = to_erase_.begin(); at != to_erase_.end();) {
      StoreTransaction transaction;
      transaction.removals.push_back(KeyOf(at->first));
      const StoreResult<StoreRevision> written = co_await store_.Commit(std::move(transaction));
      const bool done = written.has_value() || ++at->second >= kMaxAttempts;
      at = done ? to_erase_.erase(at) : std::next(at);
    }
  }

  /// If the store stays unavailable for longer, the key expires with its lease.
  static constexpr int kMaxAttempts = 40;

  Store& store_;
  PoisonGuard& guard_;
  const InstanceRecords& records_;
  Options options_;
  Timer timer_;
  std::map<RequestFingerprint, TimePoint> first_seen_;  ///< when each quarantine was first seen
  std::map<RequestFingerprint, int> to_erase_;          ///< with the number of attempts
  bool stopped_ = false;
};

}  // namespace ridgehold
