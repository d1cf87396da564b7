#include "drain/shutdown_admission.h"

namespace ridgehold {
namespace {

// A caller that may not repeat a request is left without a result if this one takes longer.
constexpr double kUnrepeatableQuantile = 1;
constexpr double kRepeatableQuantile = 0.9;

}  // namespace

bool FitsBefore(TimePoint end, const PendingRequest& request, const ServiceTimes& times,
                TimePoint now) {
  if (request.answer_by <= end) return true;
  if (now >= end) return false;
  const std::optional<Duration> time = times.Quantile(
      request.route, request.may_repeat ? kRepeatableQuantile : kUnrepeatableQuantile);
  return time ? *time <= end - now : request.may_repeat;
}

}  // namespace ridgehold
