#include "gateway/attempt_policy.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

using namespace ridgehold;

namespace {

RetryDecisionInput Answered(int status, bool not_executed, bool may_repeat) {
  RetryDecisionInput facts;
  facts.outcome = AttemptOutcome::kAnswered;
  facts.status = status;
  facts.not_executed = not_executed;
  facts.has_signature = !not_executed;
  facts.may_repeat = may_repeat;
  facts.max_runs = 2;
  facts.sends = 1;
  facts.may_have_run = !ProvesNotExecuted(facts);
  facts.runs = facts.may_have_run ? 1 : 0;
  return facts;
}

/// Generates any reachable input: execution counts are consistent with the outcome.
rc::Gen<RetryDecisionInput> AnyFacts() {
  return rc::gen::exec([] {
    RetryDecisionInput facts;
    facts.outcome = *rc::gen::element(AttemptOutcome::kStreamed, AttemptOutcome::kAnswered,
                                      AttemptOutcome::kNotSent, AttemptOutcome::kInterrupted,
                                      AttemptOutcome::kTimedOut, AttemptOutcome::kCallerGone);
    if (facts.outcome == AttemptOutcome::kAnswered) {
      facts.status = *rc::gen::element(200, 204, 302, 400, 404, 408, 421, 429, 500, 503, 504);
      facts.not_executed = *rc::gen::arbitrary<bool>();
      facts.has_signature = *rc::gen::arbitrary<bool>();
    }
    facts.may_repeat = *rc::gen::arbitrary<bool>();
    facts.stream_begun = *rc::gen::arbitrary<bool>();
    const auto earlier_runs = *rc::gen::inRange(0, 3);
    facts.runs = static_cast<std::uint32_t>(earlier_runs);
    if (!ProvesNotExecuted(facts)) ++facts.runs;
    facts.may_have_run = facts.runs > 0;
    facts.max_runs = static_cast<std::uint32_t>(*rc::gen::inRange(1, 4));
    facts.sends = facts.runs + static_cast<std::uint32_t>(*rc::gen::inRange(0, 5));
    facts.time_left = *rc::gen::arbitrary<bool>();
    return facts;
  });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(attempt_policy)

BOOST_AUTO_TEST_CASE(success_is_delivered) {
  BOOST_TEST((DecideNext(Answered(200, false, false)) == NextStep::kDeliver));
}

BOOST_AUTO_TEST_CASE(rejection_is_retried_for_every_route_kind) {
  BOOST_TEST((DecideNext(Answered(503, true, false)) == NextStep::kRetry));
  BOOST_TEST((DecideNext(Answered(421, false, false)) == NextStep::kRetry));
}

BOOST_AUTO_TEST_CASE(error_is_delivered_for_an_unsafe_request_and_retried_for_a_safe_one) {
  BOOST_TEST((DecideNext(Answered(500, false, false)) == NextStep::kDeliver));
  BOOST_TEST((DecideNext(Answered(500, false, true)) == NextStep::kRetry));
}

BOOST_AUTO_TEST_CASE(overload_without_proof_of_non_execution_fails_an_unsafe_request) {
  BOOST_TEST((DecideNext(Answered(503, false, false)) == NextStep::kFail));
}

RC_BOOST_PROP(non_repeatable_request_is_never_resent_after_possible_execution, ()) {
  const RetryDecisionInput facts = *AnyFacts();
  RC_PRE(!facts.may_repeat && facts.may_have_run);
  RC_ASSERT(DecideNext(facts) != NextStep::kRetry);
}

RC_BOOST_PROP(non_execution_is_reported_only_with_proof, ()) {
  const RetryDecisionInput facts = *AnyFacts();
  if (DecideNext(facts) == NextStep::kReject) RC_ASSERT(!facts.may_have_run);
}

RC_BOOST_PROP(delivered_status_never_implies_non_execution, ()) {
  const RetryDecisionInput facts = *AnyFacts();
  if (DecideNext(facts) != NextStep::kDeliver) return;
  for (const int promise : {408, 421, 429, 503}) RC_ASSERT(facts.status != promise);
  if (facts.status < 400) RC_ASSERT(facts.has_signature);
}

RC_BOOST_PROP(executions_stay_within_the_route_limit, ()) {
  const RetryDecisionInput facts = *AnyFacts();
  if (DecideNext(facts) == NextStep::kRetry) RC_ASSERT(facts.runs < facts.max_runs);
}

RC_BOOST_PROP(started_stream_completes_or_is_aborted, ()) {
  const RetryDecisionInput facts = *AnyFacts();
  RC_PRE(facts.stream_begun);
  const NextStep step = DecideNext(facts);
  RC_ASSERT(step == NextStep::kDone || step == NextStep::kRetry || step == NextStep::kAbortStream);
}

BOOST_AUTO_TEST_SUITE_END()
