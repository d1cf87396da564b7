// One of the deployment's few places for reloading weights, held by one daemon at a time.

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

/// Names a holding of a place: no two holdings of it have the same.
struct ReloadTicket {
  int place = 0;
  std::string holding;
};

/// A role is held through a leased key. Every single order gets a fencing
/// number of its own, taken while the key is still there, so numbers rise in
/// the order in which they were allowed. Not thread-safe; calls block.
template <KvStore Store>
class ReloadRole {
 public:
  /// So many engines reload at once; more would slow the weight store down.
  static constexpr int kPlaces = 2;

  struct Options {
    std::chrono::seconds ttl{10};
    std::function<TimePoint()> now = [] { return Clock::now(); };
  };

  ReloadRole(Store& store, DaemonId daemon, Options options)
      : store_(store), daemon_(std::move(daemon)), options_(std::move(options)) {}

  /// Takes a free place. Returns whether one is held now.
  bool Acquire() {
    for (int place = 0; place < kPlaces && !Held(); ++place) {
      ValueOr([&] { return TryPlace(place); }, [](const Failure&) { return false; });
    }
    return Held();
  }

  /// Keeps the place. Returns whether it is still held.
  bool KeepAlive() {
    if (!ticket_) return false;
    const TimePoint begun = options_.now();
    const auto alive = ValueOr(
        [&]() -> Result<std::optional<bool>> {
          BOOST_LEAF_AUTO(lives, store_.KeepAlive(*lease_));
          return std::optional(lives);
        },
        [](const Failure&) { return std::optional<bool>(); });
    if (alive && *alive) clock_.Renew(begun, options_.ttl);
    if (alive && !*alive) Forget();
    return Held();
  }

  /// Whether the place is certainly held now, by the local clock.
  bool Held() const { return ticket_.has_value() && clock_.MayAct(options_.now()); }

  /// Takes the next fencing number, if the place is still held at the store.
  std::optional<std::uint64_t> NextFencing() {
    if (!Held()) return std::nullopt;
    return ValueOr([&] { return TakeNumber(); },
                   [](const Failure&) { return std::optional<std::uint64_t>(); });
  }

  /// Gives the place up.
  void Release() {
    if (!ticket_) return;
    ValueOr(
        [&]() -> Result<void> {
          KvTransaction transaction;
          transaction.compares.push_back({PlaceKey(ticket_->place), ticket_->holding});
          transaction.deletes.push_back(PlaceKey(ticket_->place));
          BOOST_LEAF_CHECK(store_.Commit(transaction));
          return {};
        },
        [](const Failure&) {});
    Forget();
  }

 private:
  static std::string PlaceKey(int place) {
    return "/ridgehold/roles/reload-" + std::to_string(place);
  }
  static std::string FencingKey() { return "/ridgehold/roles/fencing"; }

  Result<bool> TryPlace(int place) {
    const TimePoint begun = options_.now();
    BOOST_LEAF_AUTO(lease, store_.GrantLease(options_.ttl));
    // The lease's id makes this holding's name its own.
    const std::string holding = daemon_.value() + " " + std::to_string(lease.value());
    KvTransaction transaction;
    transaction.compares.push_back({PlaceKey(place), std::nullopt});
    transaction.puts.push_back({PlaceKey(place), holding, lease});
    BOOST_LEAF_AUTO(answer, store_.Commit(transaction));
    if (!answer.succeeded) return false;
    ticket_ = ReloadTicket{place, holding};
    lease_ = lease;
    clock_.Renew(begun, options_.ttl);
    return true;
  }

  Result<std::optional<std::uint64_t>> TakeNumber() {
    constexpr int kTries = 4;
    for (int left = kTries; left > 0; --left) {
      BOOST_LEAF_AUTO(stored, store_.Get(FencingKey()));
      const std::uint64_t last = stored ? std::stoull(stored->value) : 0;
      const std::uint64_t next = last + 1;
      KvTransaction transaction;
      transaction.compares.push_back({PlaceKey(ticket_->place), ticket_->holding});
      transaction.compares.push_back(
          {FencingKey(), stored ? std::optional(stored->value) : std::nullopt});
      transaction.puts.push_back({FencingKey(), std::to_string(next), std::nullopt});
      transaction.reads_on_failure = {PlaceKey(ticket_->place)};
      BOOST_LEAF_AUTO(answer, store_.Commit(transaction));
      if (answer.succeeded) return std::make_optional(next);
      const bool lost = answer.reads.empty() || answer.reads.front().value != ticket_->holding;
      if (lost) {
        Forget();
        return std::optional<std::uint64_t>();
      }
    }
    return std::optional<std::uint64_t>();
  }

  void Forget() {
    ticket_.reset();
    clock_.Drop();
  }

  Store& store_;
  DaemonId daemon_;
  Options options_;
  std::optional<ReloadTicket> ticket_;
  std::optional<LeaseId> lease_;
  LeaseClock clock_;
};

}  // namespace ridgehold
