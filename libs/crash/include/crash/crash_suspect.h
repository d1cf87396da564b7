// A request that may have crashed a backend server.

#pragma once

#include <vector>

#include "base/ids.h"
#include "base/workspace_hash.h"
#include "crash/request_features.h"

namespace ridgehold {

/// A request that was interrupted before it was known to survive the beginning of its answer. If
/// the backend server has crashed, one of its suspects is the cause, unless it crashed by itself.
struct CrashSuspect {
  BackendHash backend = 0;
  RequestFingerprint content;
  WorkspaceHash workspace = 0;
  std::vector<RequestFingerprint> parts;  ///< see PartFeature::anywhere
  bool proved = false;                    ///< the backend server is known to have crashed

  bool operator==(const CrashSuspect&) const = default;
};

}  // namespace ridgehold
