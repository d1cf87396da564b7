// Serves this instance's copy of the store to the instances that follow it.

#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control/store_connectivity.h"
#include "entry/admin_server.h"
#include "gateway/gateway_state.h"
#include "net/update_signal.h"
#include "peers/store_copy.h"

namespace ridgehold {

/// An up-to-date copy of the store, such as StateFollower.
template <class Follower>
concept CopySource = requires(const Follower& follower, StoreRevision revision) {
  { follower.ready() } -> std::convertible_to<bool>;
  { follower.revision() } -> std::convertible_to<StoreRevision>;
  { follower.items() } -> std::convertible_to<const std::map<std::string, StoreItem>&>;
  { follower.ChangesAfter(revision) } -> std::same_as<std::optional<std::vector<StoreEvent>>>;
  { follower.connectivity() } -> std::convertible_to<const StoreConnectivity&>;
};

/// Answers when there is news, so that a change passes each level of relays within a round trip.
/// Runs on one executor.
template <CopySource Follower>
class StoreCopyServer {
 public:
  StoreCopyServer(GatewayState& state, const Follower& follower)
      : state_(state), follower_(follower), updated_(state.executor()) {}

  /// Call after the copy has changed, was confirmed, or has lost the store.
  void NotifyUpdated() { updated_.Notify(); }

  /// Answers the query of a StoreCopyRequest.
  net::awaitable<AdminPage> Respond(std::string query) {
    const StoreCopyRequest request = StoreCopyRequest::FromQuery(query);
    const TimePoint began = Clock::now();
    const TimePoint limit = began + std::min(request.wait, kMaxHold);
    while (!HasNews(request) && Clock::now() < limit) co_await updated_.WaitUntil(limit);
    if (!follower_.ready()) {
      co_return AdminPage{http::status::service_unavailable, "text/plain", ""};
    }
    StoreCopy copy = MakeCopy(request);
    copy.held = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - began);
    co_return AdminPage{http::status::ok, "application/x-protobuf", EncodeStoreCopy(copy)};
  }

 private:
  /// A compressed copy of all items, made for several readers.
  struct PackedCopy {
    StoreRevision revision;
    TimePoint made_at{};
    std::string items;
  };

  /// Compressed large items, made for several readers.
  struct PackedChanges {
    std::map<std::string, StoreRevision> revisions;  ///< by key
    std::string items;
  };

  bool HasNews(const StoreCopyRequest& request) const {
    if (!follower_.ready()) return false;
    if (request.revision < follower_.revision()) return true;
    if (follower_.connectivity().failing()) return true;
    return request.age && *request.age > AgeOf(state_.confirmed_at()) + kMinAgeGain;
  }

  StoreCopy MakeCopy(const StoreCopyRequest& request) {
    StoreCopy copy;
    copy.revision = follower_.revision();
    copy.age = AgeOf(state_.confirmed_at());
    copy.grace = std::chrono::duration_cast<std::chrono::milliseconds>(
        follower_.connectivity().RemainingGrace(Clock::now()));
    copy.store_unreachable = follower_.connectivity().failing();
    if (request.revision >= follower_.revision()) return copy;
    auto changes = follower_.ChangesAfter(request.revision);
    copy.is_snapshot = !changes.has_value();
    if (changes) {
      copy.changes = std::move(*changes);
      if (request.accepts_deflated_changes) PackLargeChanges(copy);
    } else if (request.accepts_deflate) {
      AddPacked(copy);
    } else {
      for (const auto& [key, item] : follower_.items()) {
        copy.changes.push_back({key, item.revision, item});
      }
    }
    return copy;
  }

  /// Moves large items from the changes into the packed ones. A relay sends a changed configuration
  /// to each of its followers, whose responses share its link with those of callers.
  void PackLargeChanges(StoreCopy& copy) {
    std::map<std::string, StoreItem> large;
    std::erase_if(copy.changes, [&](StoreEvent& change) {
      if (!change.item || change.item->value.size() < kMinPackedBytes) return false;
      large[change.key] = std::move(*change.item);
      return true;
    });
    if (large.empty()) return;
    std::map<std::string, StoreRevision> revisions;
    for (const auto& [key, item] : large) revisions[key] = item.revision;
    if (revisions != packed_changes_.revisions) {
      packed_changes_ = {std::move(revisions), PackItems(large)};
    }
    copy.packed_items = packed_changes_.items;
  }

  /// Adds a packed copy that may be slightly older, and the changes since.
  void AddPacked(StoreCopy& copy) {
    const TimePoint now = Clock::now();
    std::optional<std::vector<StoreEvent>> changes;
    if (now - packed_.made_at <= kMaxPackedAge) changes = follower_.ChangesAfter(packed_.revision);
    if (!changes) {
      packed_ = {follower_.revision(), now, PackItems(follower_.items())};
      changes.emplace();
    }
    copy.packed_items = packed_.items;
    copy.changes = std::move(*changes);
  }

  /// Rounded up: a copy must not look newer than it is.
  static std::chrono::milliseconds AgeOf(TimePoint confirmed_at) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - confirmed_at) +
           std::chrono::milliseconds(1);
  }

  static constexpr std::chrono::milliseconds kMaxHold{1'000};
  /// A confirmation that is newer by less than this waits for the next one.
  static constexpr std::chrono::milliseconds kMinAgeGain{200};
  /// Compressing the copy of a large fleet takes an instance with an eighth of a core 0.2 s.
  static constexpr std::chrono::milliseconds kMaxPackedAge{2'000};
  /// Compressing smaller values saves less than it takes.
  static constexpr std::size_t kMinPackedBytes = std::size_t{16} << 10;

  GatewayState& state_;
  const Follower& follower_;
  UpdateSignal updated_;
  PackedCopy packed_;
  PackedChanges packed_changes_;
};

}  // namespace ridgehold
