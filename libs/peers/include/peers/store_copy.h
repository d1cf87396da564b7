// A gateway's copy of the store, handed to gateways that do not ask the store themselves.

#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "control/state_store.h"

namespace ridgehold {

/// Path under which gateways serve it to each other; the query is the revision
/// that the asking one has.
inline constexpr char kStoreCopyPath[] = "/store-copy";

/// What one gateway knows of the store.
struct StoreCopy {
  StoreRevision revision;              ///< all changes up to this one are known
  std::chrono::milliseconds age{0};    ///< since that was the newest for certain
  bool whole = false;                  ///< `changes` are all items there are
  std::vector<StoreEvent> changes;     ///< since the revision that was asked for
  std::chrono::milliseconds grace{0};  ///< so long missing registrations say nothing
  bool store_lost = false;             ///< the sender's calls to the store fail
};

std::string EncodeStoreCopy(const StoreCopy& copy);

/// Fails with kMalformedPeerMessage.
Result<StoreCopy> DecodeStoreCopy(std::string_view bytes);

}  // namespace ridgehold
