#include "retry/retry_standing.h"

namespace ridgehold {

RetryStanding RetryStandingOf(const RetryStandingInput& input, TimePoint now) {
  RetryStanding standing;
  standing.has_share = input.member_since && now - *input.member_since >= input.counted_span;
  standing.recorded = input.recorded;
  // An earlier process has ended before this one started.
  standing.predecessor_counts =
      input.predecessor_recorded && now - input.process_started < input.counted_span;
  return standing;
}

std::string ToText(const RetryStanding& standing) {
  if (standing.predecessor_counts) return "predecessor";
  if (standing.has_share) return standing.recorded ? "share,recorded" : "share";
  return standing.recorded ? "recorded" : "earned";
}

}  // namespace ridgehold
