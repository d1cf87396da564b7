// Updates that gateways exchange about requests suspected of crashing backend servers.

#pragma once

#include <vector>

#include "gateway/gateway_gossip.h"
#include "gateway/request_fingerprint.h"

namespace ridgehold {

/// A backend server crashed while it was running the request.
struct CrashReport {
  BackendHash backend = 0;
  RequestFingerprint request;

  bool operator==(const CrashReport&) const = default;
};

/// An attempt was interrupted, perhaps by a crash that is not proved yet.
using InterruptionReport = CrashReport;

/// Items are idempotent and may be sent any number of times.
struct PoisonUpdate {
  std::vector<CrashReport> crashes;
  std::vector<RequestFingerprint>
      cleared;  ///< a backend server completed it, or an operator released it
  std::vector<RequestFingerprint> quarantined;  ///< newly quarantined
  std::vector<InterruptionReport> interruptions;

  bool empty() const {
    return crashes.empty() && cleared.empty() && quarantined.empty() && interruptions.empty();
  }
};

}  // namespace ridgehold
