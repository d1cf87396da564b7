#include "gateway/admission.h"

namespace ridgehold {
namespace {

Duration FractionOf(double fraction, Duration total) {
  return std::chrono::duration_cast<Duration>(fraction * total);
}

}  // namespace

bool Admission::InTime(const AdmissionQuery& query) {
  return query.age + query.ahead + query.own <= query.objective;
}

bool Admission::WaitExpired(const AdmissionQuery& query) const {
  return query.age >= FractionOf(rule_.max_wait_objectives, query.objective);
}

bool Admission::MaySend(const AdmissionQuery& query) const {
  const bool has_objectives = query.objective > Duration::zero() && query.room > Duration::zero();
  if (!rule_.enabled || !has_objectives) return true;
  if (WaitExpired(query)) return true;
  if (query.ahead <= FractionOf(rule_.late_load_fraction, query.room)) return true;
  return InTime(query) &&
         query.ahead + query.own <= FractionOf(rule_.max_load_fraction, query.room);
}

}  // namespace ridgehold
