// Interface of the key-value store that holds durable state.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/system/result.hpp>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/strong.h"
#include "net/beast.h"

namespace ridgehold {

/// Counter that the store increments with each change.
using StoreRevision = Strong<struct StoreRevisionTag, std::uint64_t>;
using StoreLeaseId = Strong<struct StoreLeaseIdTag, std::uint64_t>;

/// Why a call failed.
enum class StoreError : std::uint8_t {
  kNotSent,          ///< the store was not reached; nothing was applied
  kUnavailable,      ///< the store refused for now; nothing was applied
  kRateLimited,      ///< over the rate limit; nothing was applied
  kNoAnswer,         ///< sent; may have been applied, or may still be
  kCompacted,        ///< the changes that a watch asked for are no longer kept
  kConditionFailed,  ///< a key was not at the expected revision
  kNotFound,         ///< no such key or lease
  kRejected,         ///< the call is invalid
  kMalformed,        ///< the answer cannot be decoded
};

/// Name of an error in log lines.
std::string_view NameOf(StoreError fault);

/// A value or an error. LEAF is not used since its errors live in a handler scope of the thread,
/// which a coroutine leaves when it suspends.
template <class T>
using StoreResult = boost::system::result<T, StoreError>;

/// A key with its value.
struct StoreItem {
  std::string key;
  std::string value;
  StoreRevision revision;  ///< of its last change
  StoreLeaseId lease;      ///< 0: none
};

/// One page of a listing.
struct StorePage {
  std::vector<StoreItem> items;
  bool has_more = false;
  StoreRevision revision;  ///< of the store when the page was read
};

/// A change of a key; without `item` the key was removed.
struct StoreEvent {
  std::string key;
  StoreRevision revision;
  std::optional<StoreItem> item;
};

/// Result of a watch.
struct WatchResult {
  std::vector<StoreEvent> events;
  StoreRevision revision;  ///< from which the next watch continues
};

/// Condition that a key is at `revision`; 0 means that it must not exist.
struct StoreCondition {
  std::string key;
  StoreRevision revision;
};

/// Write of a key, which is removed when its lease expires.
struct StorePut {
  std::string key;
  std::string value;
  StoreLeaseId lease;  ///< 0: none
};

/// Applied atomically if all conditions hold.
struct StoreTransaction {
  std::vector<StoreCondition> conditions;
  std::vector<StorePut> puts;
  std::vector<std::string> removals;
};

/// A lease and the time to live that the store granted.
struct LeaseGrant {
  StoreLeaseId id;
  std::chrono::milliseconds ttl{0};
};

/// Whether a listing must be current.
enum class ReadConsistency : std::uint8_t {
  kLatest,
  kStale,  ///< may be seconds old; costs the store a tenth
};

/// What a first look at the store tells of its size.
enum class StoreSize : std::uint8_t {
  kUnknown,
  kLarge,  ///< no page should be read to find out
};

/// How a listing is read.
struct ListOptions {
  ReadConsistency consistency = ReadConsistency::kLatest;
  /// Multiplies the client's time limit for a call, while the store's link is congested.
  int timeout_factor = 1;
};

/// A client of the store. Each call is a coroutine that completes within its time limit.
template <class Store>
concept StateStore = requires(Store& store, const std::string& text, StoreRevision revision,
                              std::chrono::milliseconds time, const StoreTransaction& transaction,
                              StoreLeaseId lease, const ListOptions& options) {
  { store.List(text, text, options) } -> std::same_as<net::awaitable<StoreResult<StorePage>>>;
  { store.Watch(text, revision, time) } -> std::same_as<net::awaitable<StoreResult<WatchResult>>>;
  { store.Commit(transaction) } -> std::same_as<net::awaitable<StoreResult<StoreRevision>>>;
  { store.GrantLease(time) } -> std::same_as<net::awaitable<StoreResult<LeaseGrant>>>;
  { store.RenewLease(lease) } -> std::same_as<net::awaitable<StoreResult<LeaseGrant>>>;
  { store.RevokeLease(lease) } -> std::same_as<net::awaitable<StoreResult<StoreLeaseId>>>;
};

}  // namespace ridgehold
