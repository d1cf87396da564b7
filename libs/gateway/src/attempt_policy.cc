#include "gateway/attempt_policy.h"

namespace ridgehold {
namespace {

constexpr int kMisdirected = 421;
constexpr int kBadRequest = 400;
constexpr int kTooManyRequests = 429;
constexpr int kRequestTimeout = 408;
constexpr int kServiceUnavailable = 503;
constexpr int kFirstError = 400;
constexpr int kFirstServerError = 500;

/// Statuses that clients take as proof that the request was not executed.
bool ImpliesNotExecuted(int status) {
  return status == kTooManyRequests || status == kServiceUnavailable || status == kRequestTimeout ||
         status == kMisdirected;
}

/// Whether another backend server may give a better response.
bool IsWorthRetrying(const RetryDecisionInput& facts) {
  if (facts.outcome != AttemptOutcome::kAnswered) return true;
  return facts.status >= kFirstServerError || ImpliesNotExecuted(facts.status);
}

/// Whether the response may be forwarded unchanged. A status that implies "not executed" is never
/// forwarded here; it is reported only if that is proved for all attempts.
bool IsDeliverable(const RetryDecisionInput& facts) {
  if (facts.outcome != AttemptOutcome::kAnswered || facts.stream_begun) return false;
  if (facts.status < kFirstError) return facts.has_signature;
  return !ImpliesNotExecuted(facts.status);
}

}  // namespace

bool MayRunAgain(const RetryDecisionInput& facts) {
  return facts.may_repeat && facts.runs + 1 < facts.max_runs &&
         facts.sends < facts.max_runs + kMaxExtraSends;
}

bool ProvesNotExecuted(const RetryDecisionInput& facts) {
  if (facts.outcome == AttemptOutcome::kNotSent || facts.outcome == AttemptOutcome::kSkipped)
    return true;
  return facts.outcome == AttemptOutcome::kAnswered &&
         (facts.not_executed || facts.status == kMisdirected);
}

NextStep DecideNext(const RetryDecisionInput& facts) {
  if (facts.outcome == AttemptOutcome::kStreamed || facts.outcome == AttemptOutcome::kCallerGone) {
    return NextStep::kDone;
  }
  const bool not_run = ProvesNotExecuted(facts);
  const bool bad_request = not_run && facts.status == kBadRequest;
  const bool final_answer = IsDeliverable(facts) && !IsWorthRetrying(facts);
  if (final_answer && !not_run) return NextStep::kDeliver;
  if (bad_request && IsDeliverable(facts)) return NextStep::kDeliver;
  const bool runs_left = facts.runs < facts.max_runs && (facts.may_repeat || !facts.may_have_run);
  const bool sends_left = facts.sends < facts.max_runs + kMaxExtraSends;
  const bool may_retry = facts.time_left && sends_left && runs_left;
  if (may_retry && (not_run || facts.may_repeat) && IsWorthRetrying(facts)) return NextStep::kRetry;
  return StepWithoutRetry(facts);
}

NextStep StepWithoutRetry(const RetryDecisionInput& facts) {
  if (facts.stream_begun) return NextStep::kAbortStream;
  if (!facts.may_have_run) return NextStep::kReject;
  return IsDeliverable(facts) ? NextStep::kDeliver : NextStep::kFail;
}

}  // namespace ridgehold
