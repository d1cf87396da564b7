// Updates that gateways exchange about requests suspected of crashing backend servers.

#pragma once

#include <chrono>
#include <vector>

#include "crash/crash_suspect.h"
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

/// A backend server survived the beginning of an answer to a request with a prompt part.
struct SurvivalReport {
  RequestFingerprint part;           ///< PartFeature::anywhere
  std::chrono::milliseconds age{0};  ///< since the answer began

  bool operator==(const SurvivalReport&) const = default;
};

/// Items are idempotent and may be sent any number of times.
struct PoisonUpdate {
  std::vector<CrashReport> crashes;
  /// Requests that a backend server completed, prompt parts that one survived after they were
  /// quarantined, and what an operator released.
  std::vector<RequestFingerprint> cleared;
  std::vector<RequestFingerprint> quarantined;  ///< newly quarantined requests and prompt parts
  std::vector<InterruptionReport> interruptions;
  std::vector<CrashSuspect> suspects;  ///< generation requests only
  std::vector<SurvivalReport> survivals;

  bool empty() const {
    return crashes.empty() && cleared.empty() && quarantined.empty() && interruptions.empty() &&
           suspects.empty() && survivals.empty();
  }
};

}  // namespace ridgehold
