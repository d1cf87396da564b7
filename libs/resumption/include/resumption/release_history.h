// Releases of a service's backend servers over time.

#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include "base/ids.h"
#include "resumption/release_record.h"

namespace ridgehold {

/// The releases that have been registered for one service, as seen by this gateway and by those
/// whose record it has read. Not thread-safe; the caller supplies the time, on a clock that may
/// stand still while the process is suspended: releases are then remembered for longer.
class ReleaseHistory {
 public:
  /// What is known of the streams that may still be resumed.
  struct Summary {
    bool several = false;             ///< backend servers of several releases began them
    std::optional<ReleaseId> single;  ///< the only release registered within their lifetime
    bool complete = false;            ///< known for all of that time
    std::size_t releases = 0;         ///< that are known

    /// Whether there is proof that one release began all of them.
    bool IsSingle() const { return complete && single.has_value(); }
  };

  /// Records the releases that are registered at `now`.
  void Observe(const std::set<ReleaseId>& releases, TimePoint now);
  /// Takes over the record. Call for each change of it: a release that it lists may have been
  /// registered until now, and one that it no longer lists can have begun no stream since long.
  void Restore(const ReleaseRecord& record, TimePoint now);
  /// How long a release may wait for its record. If the store takes no writes for longer, the
  /// capacity of its servers is needed.
  static constexpr std::chrono::milliseconds kMaxRecordDelay{5'000};

  /// The releases that joined within kMaxRecordDelay and that the record, if there is one, does not
  /// list yet. Streams that these begin are not known to be theirs once all gateways have ended.
  std::set<ReleaseId> Unrecorded(TimePoint now) const;
  /// Marks the history as complete: no gateway has run before.
  void MarkComplete() { known_complete_ = true; }
  /// What the record should hold, so that processes that start later know as much.
  ReleaseRecord ToRecord(Duration lifetime, TimePoint now) const;
  /// `lifetime`: how long after its start a stream may be resumed.
  Summary Summarize(Duration lifetime, TimePoint now) const;

 private:
  std::optional<TimePoint> first_observed_;
  std::set<ReleaseId> Recent(Duration lifetime, TimePoint now) const;

  std::map<ReleaseId, TimePoint> last_seen_;   ///< registered
  std::map<ReleaseId, TimePoint> unrecorded_;  ///< with the time at which each joined
  std::set<ReleaseId> recorded_;
  bool has_record_ = false;
  TimePoint recorded_at_{};
  bool known_complete_ = false;
};

}  // namespace ridgehold
