// Whether a generation request is sent to its engine now, or waits at the gateway for room there.

#pragma once

#include <chrono>

#include "base/ids.h"

namespace ridgehold {

/// Figures of the rule below. Parts are of the room that an engine has: the
/// shortest latency objective of the routes to its service.
struct AdmissionRule {
  /// Off: every request is sent to its engine at once.
  bool enabled = true;
  /// Reading that an engine may have before it, the request's own included. The
  /// rest is for round trips and for what two gateways send at the same moment.
  double full_part = 0.9;
  /// Late and very long requests are sent to an engine with less than so much
  /// before them: one more prompt then still ends within the objective.
  double late_part = 0.25;
  /// A request waits at most so many of its objectives from its arrival on;
  /// callers of streams commonly leave after four.
  double longest_wait = 3;
};

/// What the rule looks at; times are expected ones.
struct AdmissionQuery {
  Duration ahead{0};      ///< until the engine has read what was sent before
  Duration own{0};        ///< to fetch and read the request's own prompt
  Duration room{0};       ///< the shortest latency objective of the service's routes
  Duration objective{0};  ///< of the request's route
  Duration age{0};        ///< since the request arrived
};

/// A request that an engine takes in can't be put back behind others. So an
/// engine gets no more than it reads within the shortest objective; what would
/// be late in any case waits until nobody is delayed by it. Without this, every
/// request was late once the engines had more to read than one objective's worth:
/// with four of nine engines left, a quarter of the requests was in time for
/// four seconds where the engines had time for more than half. Pure.
class Admission {
 public:
  explicit Admission(AdmissionRule rule) : rule_(rule) {}

  bool MaySend(const AdmissionQuery& query) const;

  /// Whether the request is sent however much is before it.
  bool WaitedEnough(const AdmissionQuery& query) const;

  /// Whether the request can still be in time if it is sent now.
  static bool InTime(const AdmissionQuery& query);

 private:
  AdmissionRule rule_;
};

}  // namespace ridgehold
