// What outlives all processes of the releases of a service.

#pragma once

#include <set>

#include "base/ids.h"

namespace ridgehold {

/// Kept in the store for each service whose streams may be resumed.
struct ReleaseRecord {
  /// All releases that may have begun streams which can still be resumed.
  std::set<ReleaseId> releases;
  /// Whether no other release can have done so. A record that was first written while the
  /// releases of the past were not known is complete only after a stream's lifetime.
  bool complete = false;

  bool operator==(const ReleaseRecord&) const = default;
};

}  // namespace ridgehold
