// Tracks how long the links for KV cache transfers are busy.

#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "base/ids.h"

namespace ridgehold {

/// Hash of the address of an engine or a KV cache store.
using LinkHash = std::uint64_t;

LinkHash LinkOf(std::string_view address);

/// A link carries one transfer at a time, so the requested transfers determine when the next one
/// can begin. Gateways report the transfers they request to each other or to the trackers of the
/// engines and stores. Without this, fetches waited up to 2 s for one store's link while the
/// engines' links were idle. Not thread-safe; the caller passes in the time.
class TransferLinks {
 public:
  /// Engines do not begin a transfer that would have to wait longer.
  static constexpr std::chrono::milliseconds kMaxWait{2'000};

  /// Time until a transfer requested now begins.
  Duration QueueDelay(LinkHash link, TimePoint now) const;

  /// Records that a transfer that takes `duration` was requested.
  void Reserve(LinkHash link, Duration duration, TimePoint now);

 private:
  std::unordered_map<LinkHash, TimePoint> busy_until_;
};

}  // namespace ridgehold
