// The prefill work that an engine may have outstanding for a request to be sent there.

#pragma once

#include <cstdint>

#include "base/ids.h"
#include "priority/urgency.h"

namespace ridgehold {

/// How an engine relates to the group of engines that is reserved for short prompts.
enum class GroupMembership : std::uint8_t {
  kNoGroup,    ///< the service's engines are not divided into groups
  kMember,     ///< the engine is in the group, where urgent requests are placed
  kNotMember,  ///< urgent requests are rare at this engine
};

/// Input of a decision about a patient request; times are estimates.
struct PatientLoad {
  Duration queued_work{0};         ///< until the engine has prefilled earlier requests
  Duration own_work{0};            ///< to fetch and prefill the request's own prompt
  Duration shortest_objective{0};  ///< of the service's streaming routes
  Duration objective{0};           ///< of the request's route
  GroupMembership membership = GroupMembership::kNoGroup;
  bool over_share = false;
};

/// The load pattern: urgent short streams and patient long prompts at the same engines, with more
/// work than capacity. An engine serves requests in the order of their arrival there, so a patient
/// prompt is held back while the engine has work for half of the shortest objective; the other half
/// is left to urgent requests. All gateways apply the same limits to the same reports of an engine,
/// which orders the engine's queue across gateways. Urgent requests keep the limits of admission
/// control, multiplied by FactorFor().
class LoadLimits {
 public:
  /// Whether a patient request may be sent to the engine.
  static bool MaySendPatient(const PatientLoad& load);

  /// The factor for all limits of a request.
  static double FactorFor(bool over_share) { return over_share ? kOverShareFactor : 1; }

 private:
  static constexpr double kPatientFraction = 0.5;
  /// An engine with at most this fraction of the shortest objective queued takes any request:
  /// otherwise a prompt whose own work exceeds the limit would not be sent even to an idle engine.
  static constexpr double kAlmostIdleFraction = 0.25;
  static constexpr double kOverShareFactor = 0.5;
};

}  // namespace ridgehold
