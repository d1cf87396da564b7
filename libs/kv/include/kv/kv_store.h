// The concept every client of the platform's key-value service satisfies.

#pragma once

#include <chrono>
#include <concepts>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "kv/kv_types.h"

namespace ridgehold {

/// Calls block until answered or timed out. A failed write has the code
/// kPlatformUnavailable when it cannot have landed, and kPlatformAnswerLost
/// when it may have.
template <class Store>
concept KvStore = requires(Store& store, const std::string& key, const KvTransaction& txn,
                           LeaseId lease, std::chrono::seconds ttl) {
  { store.Get(key) } -> std::same_as<Result<std::optional<KvPair>>>;
  { store.List(key, key) } -> std::same_as<Result<std::vector<KvPair>>>;
  { store.Commit(txn) } -> std::same_as<Result<KvTransactionAnswer>>;
  { store.GrantLease(ttl) } -> std::same_as<Result<LeaseId>>;
  { store.KeepAlive(lease) } -> std::same_as<Result<bool>>;
};

}  // namespace ridgehold
