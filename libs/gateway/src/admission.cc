#include "gateway/admission.h"

namespace ridgehold {
namespace {

Duration FractionOf(double fraction, Duration total) {
  return std::chrono::duration_cast<Duration>(fraction * total);
}

}  // namespace

bool Admission::MeetsObjective(const AdmissionQuery& query) {
  return query.age + query.queued_work + query.own_work <= query.objective;
}

bool Admission::WaitExpired(const AdmissionQuery& query) const {
  return query.age >= FractionOf(options_.max_wait_objectives, query.objective);
}

bool Admission::MaySend(const AdmissionQuery& query) const {
  const bool has_objectives =
      query.objective > Duration::zero() && query.capacity > Duration::zero();
  if (!options_.enabled || !has_objectives) return true;
  if (WaitExpired(query)) return true;
  if (query.queued_work <= FractionOf(options_.late_load_fraction, query.capacity)) return true;
  return MeetsObjective(query) && query.queued_work + query.own_work <=
                                      FractionOf(options_.max_load_fraction, query.capacity);
}

}  // namespace ridgehold
