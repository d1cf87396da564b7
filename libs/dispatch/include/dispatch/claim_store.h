// Claims Idempotency-Keys in the platform's key-value service: two writes a call.

#pragma once

#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "base/ids.h"
#include "base/random_id.h"
#include "base/result.h"
#include "dispatch/idempotency_claim.h"
#include "kv/kv_store.h"

namespace ridgehold {

/// What became of an attempt to claim.
struct ClaimOutcome {
  ClaimVerdict verdict = ClaimVerdict::kMine;
  IdempotencyClaim stored;  ///< the claim now in the store
};

/// Thread-safe; calls block. No lock is held while the store is called, but
/// for the lease's own.
template <KvStore Store>
class ClaimStore {
 public:
  struct Options {
    std::chrono::milliseconds longest_call{30'000};
    std::chrono::hours keep{24};  ///< how long a key is remembered
    int tries = 3;                ///< when an answer is lost
  };

  ClaimStore(Store& store, Options options) : store_(store), options_(options) {}

  /// Claims `key` for `attempt`. Fails with kPlatformUnavailable when no claim
  /// could be made for certain: the call must not be sent then.
  Result<ClaimOutcome> Claim(const WorkspaceId& workspace, const std::string& key,
                             const RequestId& attempt, const std::string& fingerprint) {
    BOOST_LEAF_AUTO(lease, CurrentLease());
    IdempotencyClaim claim;
    claim.attempt = attempt;
    claim.fingerprint = fingerprint;
    claim.started_unix_ms = UnixMs();
    KvTransaction transaction;
    const std::string store_key = KeyOf(workspace, key);
    transaction.compares.push_back({store_key, std::nullopt});
    transaction.puts.push_back({store_key, claim.Serialize(), lease});
    transaction.reads_on_failure = {store_key};
    BOOST_LEAF_AUTO(answer, CommitSurely(transaction));
    if (answer.succeeded) return ClaimOutcome{ClaimVerdict::kMine, std::move(claim)};
    return Judge(answer, attempt, fingerprint);
  }

  /// Keeps the answer for callers that come again. Best effort: without it
  /// they are told that the outcome is unknown, and nothing runs twice.
  bool Complete(const WorkspaceId& workspace, const std::string& key, IdempotencyClaim claim,
                int status, std::string content_type, std::string body) {
    const std::string before = claim.Serialize();
    claim.state = IdempotencyClaim::State::kDone;
    claim.status = status;
    claim.content_type = std::move(content_type);
    claim.body = std::move(body);
    return Replace(KeyOf(workspace, key), before, claim.Serialize());
  }

  /// The call certainly did not run: a later one with this key may.
  bool Release(const WorkspaceId& workspace, const std::string& key,
               const IdempotencyClaim& claim) {
    return Replace(KeyOf(workspace, key), claim.Serialize(), std::nullopt);
  }

 private:
  static std::string KeyOf(const WorkspaceId& workspace, const std::string& key) {
    return "/ridgehold/claims/" + Sha256Hex(workspace.value() + "\n" + key);
  }

  static std::uint64_t UnixMs() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  }

  Result<ClaimOutcome> Judge(const KvTransactionAnswer& answer, const RequestId& attempt,
                             const std::string& fingerprint) const {
    if (answer.reads.empty()) {
      return Fail(ResultCode::kPlatformUnavailable, "the claim ended while it was read");
    }
    const auto stored = IdempotencyClaim::Parse(answer.reads.front().value);
    if (!stored) return Fail(ResultCode::kPlatformMalformed, "a claim cannot be read");
    const ClaimVerdict verdict =
        JudgeClaim(*stored, attempt, fingerprint, UnixMs(), options_.longest_call);
    return ClaimOutcome{verdict, *stored};
  }

  /// Repeats a transaction whose answer was lost; its compare makes that safe.
  Result<KvTransactionAnswer> CommitSurely(const KvTransaction& transaction) {
    for (int left = options_.tries; left > 1; --left) {
      const auto answer = ValueOr(
          [&]() -> Result<std::optional<KvTransactionAnswer>> {
            BOOST_LEAF_AUTO(taken, store_.Commit(transaction));
            return std::optional(std::move(taken));
          },
          [](const Failure&) { return std::optional<KvTransactionAnswer>(); });
      if (answer) return *answer;
    }
    return MapFailure([&] { return store_.Commit(transaction); },
                      [](const Failure& failure) {
                        return Failure{ResultCode::kPlatformUnavailable, failure.detail};
                      });
  }

  bool Replace(const std::string& key, const std::string& before,
               const std::optional<std::string>& after) {
    return ValueOr(
        [&]() -> Result<bool> {
          KvTransaction transaction;
          transaction.compares.push_back({key, before});
          if (after) {
            BOOST_LEAF_AUTO(lease, CurrentLease());
            transaction.puts.push_back({key, *after, lease});
          } else {
            transaction.deletes.push_back(key);
          }
          transaction.reads_on_failure = {key};
          BOOST_LEAF_AUTO(answer, CommitSurely(transaction));
          if (answer.succeeded) return true;
          if (answer.reads.empty()) return !after.has_value();
          return after && answer.reads.front().value == *after;
        },
        [](const Failure&) { return false; });
  }

  /// One lease serves all claims of an hour, so that it costs next to nothing.
  Result<LeaseId> CurrentLease() {
    const std::lock_guard lock(lease_mutex_);
    const TimePoint now = Clock::now();
    if (lease_ && now < lease_until_) return *lease_;
    const auto ttl = std::chrono::duration_cast<std::chrono::seconds>(options_.keep) +
                     std::chrono::seconds(kLeaseReuse);
    BOOST_LEAF_AUTO(lease,
                    MapFailure([&] { return store_.GrantLease(ttl); },
                               [](const Failure& failure) {
                                 return Failure{ResultCode::kPlatformUnavailable, failure.detail};
                               }));
    lease_ = lease;
    lease_until_ = now + kLeaseReuse;
    return lease;
  }

  static constexpr std::chrono::hours kLeaseReuse{1};

  Store& store_;
  Options options_;
  std::mutex lease_mutex_;
  std::optional<LeaseId> lease_;  // guarded by lease_mutex_
  TimePoint lease_until_{};       // guarded by lease_mutex_
};

}  // namespace ridgehold
