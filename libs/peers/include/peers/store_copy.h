// A gateway's copy of the store, served to gateways that do not read the store themselves.

#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "control/state_store.h"

namespace ridgehold {

/// Path at which gateways serve their copy to each other; the query is the revision that the client
/// already has.
inline constexpr char kStoreCopyPath[] = "/store-copy";

/// A gateway's view of the store.
struct StoreCopy {
  StoreRevision revision;              ///< all changes up to this one are included
  std::chrono::milliseconds age{0};    ///< since this was known to be the newest revision
  bool is_snapshot = false;            ///< `changes` is a snapshot, not a delta
  std::vector<StoreEvent> changes;     ///< since the requested revision
  std::chrono::milliseconds grace{0};  ///< missing registrations are ignored for this long
  bool store_unreachable = false;      ///< the sender's calls to the store fail
};

std::string EncodeStoreCopy(const StoreCopy& copy);

/// Fails with kMalformedPeerMessage.
Result<StoreCopy> DecodeStoreCopy(std::string_view bytes);

}  // namespace ridgehold
