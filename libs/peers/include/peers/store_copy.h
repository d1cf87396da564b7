// A gateway's copy of the store, handed to gateways that cannot reach the store.

#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "control/state_store.h"

namespace ridgehold {

/// Paths under which gateways serve it to each other.
inline constexpr char kStoreCopyPath[] = "/store-copy";
inline constexpr char kStoreCopyAgePath[] = "/store-copy-age";

/// What one gateway knows of the store.
struct StoreCopy {
  StoreRevision revision;            ///< all changes up to this one are known
  std::chrono::milliseconds age{0};  ///< since that was the newest for certain
  std::vector<StoreItem> items;      ///< none when only the age was asked for
};

std::string EncodeStoreCopy(const StoreCopy& copy);

/// Fails with kMalformedPeerMessage.
Result<StoreCopy> DecodeStoreCopy(std::string_view bytes);

}  // namespace ridgehold
