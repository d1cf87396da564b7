#include "priority/load_limits.h"

#include <chrono>

namespace ridgehold {
namespace {

Duration FractionOf(double fraction, Duration total) {
  return std::chrono::duration_cast<Duration>(fraction * total);
}

}  // namespace

bool LoadLimits::MaySendPatient(const PatientLoad& load) {
  const double factor = FactorFor(load.over_share);
  if (load.queued_work <= FractionOf(factor * kAlmostIdleFraction, load.shortest_objective)) {
    return true;
  }
  if (load.membership == GroupMembership::kNotMember) {
    return load.queued_work + load.own_work <=
           FractionOf(factor * kPatientFraction, load.objective);
  }
  return load.queued_work <= FractionOf(factor * kPatientFraction, load.shortest_objective);
}

}  // namespace ridgehold
