// Admission control for generation requests: forward to the engine now, or queue at the gateway.

#pragma once

#include <chrono>

#include "base/ids.h"

namespace ridgehold {

/// Parameters of Admission. Fractions are relative to an engine's capacity: the shortest latency
/// objective of the routes to its service.
struct AdmissionOptions {
  /// If false, every request is forwarded to its engine immediately.
  bool enabled = true;
  /// Maximum prefill work outstanding at an engine, including the request's own. The remainder
  /// covers round trips and requests that two gateways send concurrently.
  double max_load_fraction = 0.9;
  /// Requests that are late or very long are forwarded to an engine whose outstanding prefill work
  /// is at most this fraction: one more prompt then still completes within the objective.
  double late_load_fraction = 0.25;
  /// Maximum time from arrival to admission, in multiples of the request's latency objective.
  /// Clients of streams commonly disconnect after four objectives.
  double max_wait_objectives = 3;
};

/// Input of an admission decision; times are estimates.
struct AdmissionQuery {
  Duration queued_work{0};  ///< until the engine has prefilled earlier requests
  Duration own_work{0};     ///< to fetch and prefill the request's own prompt
  Duration capacity{0};     ///< the shortest latency objective of the service's routes
  Duration objective{0};    ///< of the request's route
  Duration age{0};          ///< since the request arrived
};

/// An engine cannot reorder a request that it has accepted. It is therefore given no more work than
/// it can prefill within the shortest objective; requests that will miss their objective anyway are
/// queued until they delay no other request. Without this limit, every request is late as soon as
/// the outstanding prefill work exceeds one objective: with four of nine engines left, a quarter of
/// the requests met their objective for four seconds, although the engines had capacity for more
/// than half. Stateless.
class Admission {
 public:
  explicit Admission(AdmissionOptions options) : options_(options) {}

  bool MaySend(const AdmissionQuery& query) const;

  /// Whether the request has waited for the maximum time and is sent regardless of load.
  bool WaitExpired(const AdmissionQuery& query) const;

  /// Whether a request that an engine has no room for waits at the gateway.
  bool WaitsForRoom(const AdmissionQuery& query) const {
    return options_.enabled && !WaitExpired(query);
  }

  /// Whether the request can still meet its objective if it is sent now.
  static bool MeetsObjective(const AdmissionQuery& query);

 private:
  AdmissionOptions options_;
};

}  // namespace ridgehold
