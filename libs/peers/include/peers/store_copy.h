// A gateway's copy of the store, served to gateways that do not read the store themselves.

#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "control/state_store.h"

namespace ridgehold {

/// Path at which gateways serve their copy to each other; the query is a StoreCopyRequest.
inline constexpr char kStoreCopyPath[] = "/store-copy";
/// Of a copy as it is sent, in part deflated.
inline constexpr std::size_t kMaxStoreCopyBytes = std::size_t{16} << 20;

/// What the reader already has, and how long the answer may wait for more.
struct StoreCopyRequest {
  StoreRevision revision;             ///< 0: nothing yet
  std::chrono::milliseconds wait{0};  ///< maximum time to wait for news; 0: answer at once
  /// Since the reader's copy was known to be the newest; empty: unknown.
  std::optional<std::chrono::milliseconds> age;
  bool accepts_deflate = false;           ///< of a snapshot
  bool accepts_deflated_changes = false;  ///< of large items among changes

  /// The request as a URL query. Gateways that know only the revision ignore the rest.
  std::string ToQuery() const;
  static StoreCopyRequest FromQuery(std::string_view query);
};

/// A gateway's view of the store.
struct StoreCopy {
  StoreRevision revision;            ///< all changes up to this one are included
  std::chrono::milliseconds age{0};  ///< since this was known to be the newest revision
  bool is_snapshot = false;          ///< `changes` is a snapshot, not a delta
  std::vector<StoreEvent> changes;   ///< since the requested revision
  /// From PackItems(): a snapshot to which `changes` are applied, or, without a snapshot, items
  /// that have changed besides `changes`. Empty in a decoded copy, where `changes` has the result.
  std::string packed_items;
  std::chrono::milliseconds grace{0};  ///< missing registrations are ignored for this long
  bool store_unreachable = false;      ///< the sender's calls to the store fail
  std::chrono::milliseconds held{0};   ///< the answer was made this long after its request came
};

std::string EncodeStoreCopy(const StoreCopy& copy);

/// Fails with kMalformedPeerMessage.
Result<StoreCopy> DecodeStoreCopy(std::string_view bytes);

/// Compresses all items, for several answers.
std::string PackItems(const std::map<std::string, StoreItem>& items);

}  // namespace ridgehold
