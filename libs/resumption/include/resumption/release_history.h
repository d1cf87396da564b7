// Releases of a service's backend servers over time.

#pragma once

#include <map>
#include <optional>
#include <set>

#include "base/ids.h"

namespace ridgehold {

/// The releases that have been registered for one service, as seen by this gateway. Not
/// thread-safe; the caller supplies the time.
class ReleaseHistory {
 public:
  /// What is known of the streams that may still be resumed.
  struct Summary {
    bool several = false;             ///< backend servers of several releases began them
    std::optional<ReleaseId> single;  ///< the only release registered within their lifetime
    bool complete = false;            ///< observed for all of that time
  };

  /// Records the releases that are registered at `now`.
  void Observe(const std::set<ReleaseId>& releases, TimePoint now);
  /// `lifetime`: how long after its start a stream may be resumed.
  Summary Summarize(Duration lifetime, TimePoint now) const;

 private:
  std::optional<TimePoint> first_observed_;
  std::map<ReleaseId, TimePoint> last_seen_;
};

}  // namespace ridgehold
