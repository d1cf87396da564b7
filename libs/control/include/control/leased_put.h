// Writes a key of the store under a new lease.

#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "control/state_store.h"

namespace ridgehold {

/// A key that was written under a new lease.
struct LeasedPut {
  LeaseGrant lease;
  StoreRevision revision;  ///< of the write
};

/// Writes the key if it is at the revision `expected`; 0 means that it must not exist, nullopt that
/// its state does not matter. If the write is not confirmed, it may still be applied; revoking the
/// lease undoes it.
template <StateStore Store>
net::awaitable<StoreResult<LeasedPut>> PutUnderLease(Store& store, std::string key,
                                                     std::string value,
                                                     std::chrono::milliseconds ttl,
                                                     std::optional<StoreRevision> expected) {
  const StoreResult<LeaseGrant> granted = co_await store.GrantLease(ttl);
  if (granted.has_error()) co_return granted.error();
  StoreTransaction transaction;
  if (expected) transaction.conditions.push_back({key, *expected});
  transaction.puts.push_back({std::move(key), std::move(value), granted->id});
  const StoreResult<StoreRevision> written = co_await store.Commit(std::move(transaction));
  if (written.has_value()) co_return LeasedPut{*granted, *written};
  co_await store.RevokeLease(granted->id);
  co_return written.error();
}

}  // namespace ridgehold
