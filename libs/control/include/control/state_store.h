// The concept of the key-value store that keeps what must last, and what it answers.

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

/// The store's counter of changes.
using StoreRevision = Strong<struct StoreRevisionTag, std::uint64_t>;
using StoreLeaseId = Strong<struct StoreLeaseIdTag, std::uint64_t>;

/// Why a call had no result.
enum class StoreError : std::uint8_t {
  kNotSent,          ///< the store was not reached; nothing was done
  kUnavailable,      ///< it refused for now; nothing was done
  kRateLimited,      ///< over the rate; nothing was done
  kNoAnswer,         ///< sent, and it may have been done, or may be done later
  kCompacted,        ///< a watch asked for changes that are no longer kept
  kConditionFailed,  ///< a key had another revision than the condition said
  kNotFound,         ///< no such key or lease
  kRejected,         ///< the call itself is at fault
  kMalformed,        ///< the answer cannot be read
};

/// A fault's name for log lines.
std::string_view NameOf(StoreError fault);

/// A value or a fault. Not LEAF: its failures live in a thread's handler
/// scope, which a coroutine leaves when it waits.
template <class T>
using StoreResult = boost::system::result<T, StoreError>;

/// A stored key.
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
  StoreRevision revision;  ///< the store's, when the page was read
};

/// One change; without an item the key was removed.
struct StoreEvent {
  std::string key;
  StoreRevision revision;
  std::optional<StoreItem> item;
};

/// What a watch returns.
struct WatchResult {
  std::vector<StoreEvent> events;
  StoreRevision revision;  ///< to go on from
};

/// A key and the revision it must have; 0: it must not exist.
struct StoreCondition {
  std::string key;
  StoreRevision revision;
};

/// A key to write; it goes when its lease ends.
struct StorePut {
  std::string key;
  std::string value;
  StoreLeaseId lease;  ///< 0: none
};

/// All or nothing.
struct StoreTransaction {
  std::vector<StoreCondition> conditions;
  std::vector<StorePut> puts;
  std::vector<std::string> removals;
};

/// A lease and the time it was granted for.
struct LeaseGrant {
  StoreLeaseId id;
  std::chrono::milliseconds ttl{0};
};

/// A client of the store. Calls are coroutines that end within their limits.
template <class Store>
concept StateStore = requires(Store& store, const std::string& text, StoreRevision revision,
                              std::chrono::milliseconds time, const StoreTransaction& transaction,
                              StoreLeaseId lease) {
  { store.List(text, text) } -> std::same_as<net::awaitable<StoreResult<StorePage>>>;
  { store.Watch(text, revision, time) } -> std::same_as<net::awaitable<StoreResult<WatchResult>>>;
  { store.Commit(transaction) } -> std::same_as<net::awaitable<StoreResult<StoreRevision>>>;
  { store.GrantLease(time) } -> std::same_as<net::awaitable<StoreResult<LeaseGrant>>>;
  { store.RenewLease(lease) } -> std::same_as<net::awaitable<StoreResult<LeaseGrant>>>;
  { store.RevokeLease(lease) } -> std::same_as<net::awaitable<StoreResult<StoreLeaseId>>>;
};

}  // namespace ridgehold
