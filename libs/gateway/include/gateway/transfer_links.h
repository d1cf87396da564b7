// How long the links are busy over which KV cache is fetched and saved.

#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "base/ids.h"

namespace ridgehold {

/// Stands for the address of an engine or a store of kept cache.
using LinkHash = std::uint64_t;

LinkHash LinkOf(std::string_view address);

/// A link carries one transfer after the other, so what was sent for says when
/// the next one ends. Gateways tell each other, or those that track the engines
/// and stores, what they send for. Without
/// this, fetches waited up to 2 s behind one store's link while those of the
/// engines were idle. Not thread-safe; time comes in as a value.
class TransferLinks {
 public:
  /// Engines do not begin a transfer that would wait longer.
  static constexpr std::chrono::milliseconds kMaxWait{2'000};

  /// Until a transfer that is asked for now begins.
  Duration QueueDelay(LinkHash link, TimePoint now) const;

  /// A transfer that takes `length` was asked for.
  void Reserve(LinkHash link, Duration duration, TimePoint now);

 private:
  std::unordered_map<LinkHash, TimePoint> busy_until_;
};

}  // namespace ridgehold
