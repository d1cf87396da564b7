#include "gateway/admission.h"

namespace ridgehold {
namespace {

Duration Part(double part, Duration whole) {
  return std::chrono::duration_cast<Duration>(part * whole);
}

}  // namespace

bool Admission::InTime(const AdmissionQuery& query) {
  return query.age + query.ahead + query.own <= query.objective;
}

bool Admission::WaitedEnough(const AdmissionQuery& query) const {
  return query.age >= Part(rule_.longest_wait, query.objective);
}

bool Admission::MaySend(const AdmissionQuery& query) const {
  const bool has_objectives = query.objective > Duration::zero() && query.room > Duration::zero();
  if (!rule_.enabled || !has_objectives) return true;
  if (WaitedEnough(query)) return true;
  if (query.ahead <= Part(rule_.late_part, query.room)) return true;
  return InTime(query) && query.ahead + query.own <= Part(rule_.full_part, query.room);
}

}  // namespace ridgehold
