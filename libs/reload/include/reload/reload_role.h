// A lease on one of the deployment's places for concurrent weight reloads.

#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "base/ids.h"
#include "base/lease_clock.h"
#include "base/result.h"
#include "kv/kv_store.h"

namespace ridgehold {

/// A held place. `holder_value`, the value of the place's key, is unique to this acquisition.
struct ReloadClaim {
  int place = 0;
  std::string holder_value;
};

/// Acquires one of `kMaxConcurrentReloads` places. Each place is a leased key, held by one
/// daemon at a time. Every order gets its own fencing token, which is taken in a transaction
/// that requires the key still to be held; tokens therefore increase in the order in which
/// orders were permitted. Not thread-safe; calls block on the store.
template <KvStore Store>
class ReloadRole {
 public:
  /// Number of engines that may reload at the same time; more would slow down the weight store.
  static constexpr int kMaxConcurrentReloads = 2;

  struct Options {
    std::chrono::seconds ttl{10};
    std::function<TimePoint()> now = [] { return Clock::now(); };
  };

  ReloadRole(Store& store, DaemonId daemon, Options options)
      : store_(store), daemon_(std::move(daemon)), options_(std::move(options)) {}

  /// Tries to acquire a free place. Returns whether one is held.
  bool Acquire() {
    for (int place = 0; place < kMaxConcurrentReloads && !Held(); ++place) {
      ValueOr([&] { return TryAcquirePlace(place); }, [](const Failure&) { return false; });
    }
    return Held();
  }

  /// Renews the lease. Returns whether the place is still held.
  bool KeepAlive() {
    if (!claim_) return false;
    const TimePoint call_start = options_.now();
    const auto alive = ValueOr(
        [&]() -> Result<std::optional<bool>> {
          BOOST_LEAF_AUTO(is_alive, store_.KeepAlive(*lease_));
          return std::optional(is_alive);
        },
        [](const Failure&) { return std::optional<bool>(); });
    if (alive && *alive) clock_.Renew(call_start, options_.ttl);
    if (alive && !*alive) ResetClaim();
    return Held();
  }

  /// Whether the lease is valid by the local clock, with a safety margin.
  bool Held() const { return claim_.has_value() && clock_.MayAct(options_.now()); }

  /// Returns the next fencing token. Returns nullopt if the place is no longer held, the store
  /// cannot be reached, or other holders won every attempt to increment the token.
  std::optional<std::uint64_t> NextFencingToken() {
    if (!Held()) return std::nullopt;
    return ValueOr([&] { return IncrementFencingToken(); },
                   [](const Failure&) { return std::optional<std::uint64_t>(); });
  }

  /// Releases the place.
  void Release() {
    if (!claim_) return;
    ValueOr(
        [&]() -> Result<void> {
          KvTransaction transaction;
          transaction.compares.push_back({PlaceKey(claim_->place), claim_->holder_value});
          transaction.deletes.push_back(PlaceKey(claim_->place));
          BOOST_LEAF_CHECK(store_.Commit(transaction));
          return {};
        },
        [](const Failure&) {});
    ResetClaim();
  }

 private:
  static std::string PlaceKey(int place) {
    return "/ridgehold/roles/reload-" + std::to_string(place);
  }
  static std::string FencingKey() { return "/ridgehold/roles/fencing"; }

  Result<bool> TryAcquirePlace(int place) {
    const TimePoint call_start = options_.now();
    BOOST_LEAF_AUTO(lease, store_.GrantLease(options_.ttl));
    // The lease id makes the value unique to this acquisition.
    const std::string holder_value = daemon_.value() + " " + std::to_string(lease.value());
    KvTransaction transaction;
    transaction.compares.push_back({PlaceKey(place), std::nullopt});
    transaction.puts.push_back({PlaceKey(place), holder_value, lease});
    BOOST_LEAF_AUTO(response, store_.Commit(transaction));
    if (!response.succeeded) return false;
    claim_ = ReloadClaim{place, holder_value};
    lease_ = lease;
    clock_.Renew(call_start, options_.ttl);
    return true;
  }

  Result<std::optional<std::uint64_t>> IncrementFencingToken() {
    constexpr int kMaxAttempts = 4;
    for (int attempts_left = kMaxAttempts; attempts_left > 0; --attempts_left) {
      BOOST_LEAF_AUTO(stored, store_.Get(FencingKey()));
      const std::uint64_t last = stored ? std::stoull(stored->value) : 0;
      const std::uint64_t next = last + 1;
      KvTransaction transaction;
      transaction.compares.push_back({PlaceKey(claim_->place), claim_->holder_value});
      transaction.compares.push_back(
          {FencingKey(), stored ? std::optional(stored->value) : std::nullopt});
      transaction.puts.push_back({FencingKey(), std::to_string(next), std::nullopt});
      transaction.reads_on_failure = {PlaceKey(claim_->place)};
      BOOST_LEAF_AUTO(response, store_.Commit(transaction));
      if (response.succeeded) return std::make_optional(next);
      const bool lost =
          response.reads.empty() || response.reads.front().value != claim_->holder_value;
      if (lost) {
        ResetClaim();
        return std::optional<std::uint64_t>();
      }
    }
    return std::optional<std::uint64_t>();
  }

  void ResetClaim() {
    claim_.reset();
    clock_.Drop();
  }

  Store& store_;
  DaemonId daemon_;
  Options options_;
  std::optional<ReloadClaim> claim_;
  std::optional<LeaseId> lease_;
  LeaseClock clock_;
};

}  // namespace ridgehold
