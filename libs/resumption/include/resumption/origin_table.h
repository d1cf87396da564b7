// Origins of recent streams.

#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "resumption/stream_origin.h"

namespace ridgehold {

/// Bounded; the oldest entries are evicted first. Not thread-safe; the caller supplies the time.
class OriginTable {
 public:
  /// Sized for about 1,000 streams per second over the lifetime of a stream.
  static constexpr std::size_t kMaxEntries = 16'384;

  struct Entry {
    StreamOrigin origin;
    ServiceId service;    ///< empty if another gateway began the stream
    bool shared = false;  ///< its keepers were notified
  };

  /// The first origin of an attempt stays.
  void Add(AttemptHash attempt, Entry entry, TimePoint now);
  /// Returns null if the attempt is not known or belongs to another scope.
  const StreamOrigin* Find(AttemptHash attempt, StreamScope scope) const;
  /// Returns the streams of `service` that this gateway began and has not shared, and marks them as
  /// shared.
  std::vector<std::pair<AttemptHash, StreamOrigin>> TakeUnshared(const ServiceId& service);
  /// Evicts entries older than `lifetime`.
  void Expire(Duration lifetime, TimePoint now);
  std::size_t size() const { return entries_.size(); }

 private:
  struct Arrival {
    AttemptHash attempt;
    TimePoint at{};
  };

  void EvictOldest();

  std::unordered_map<AttemptHash, Entry> entries_;
  std::deque<Arrival> arrivals_;
};

}  // namespace ridgehold
