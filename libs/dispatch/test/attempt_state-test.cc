#include "dispatch/attempt_state.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

using namespace ridgehold;

namespace {

/// What a backend server and the network between may do to one attempt.
enum class Fate {
  kNoConnection,
  kLostBeforeArrival,
  kRefuses,
  kRefusesThenCut,
  kRunsThenCutBeforeAnswer,
  kRunsThenCutInAnswer,
  kRunsThenTimesOut,
  kAnswers,
};

/// Plays `fate` to `state`; returns whether the backend server executed it.
bool Play(Fate fate, AttemptState& state) {
  state.Start();
  switch (fate) {
    case Fate::kNoConnection:
      state.TakeEnd(TransferOutcome::kNotSent);
      return false;
    case Fate::kLostBeforeArrival:
      state.TakeEnd(TransferOutcome::kBroken);
      return false;
    case Fate::kRefuses:
      state.TakeHead(true);
      state.TakeEnd(TransferOutcome::kComplete);
      return false;
    case Fate::kRefusesThenCut:
      state.TakeHead(true);
      state.TakeEnd(TransferOutcome::kBroken);
      return false;
    case Fate::kRunsThenCutBeforeAnswer:
      state.TakeEnd(TransferOutcome::kBroken);
      return true;
    case Fate::kRunsThenCutInAnswer:
      state.TakeHead(false);
      state.TakeEnd(TransferOutcome::kBroken);
      return true;
    case Fate::kRunsThenTimesOut:
      state.TakeEnd(TransferOutcome::kTimedOut);
      return true;
    case Fate::kAnswers:
      state.TakeHead(false);
      state.TakeEnd(TransferOutcome::kComplete);
      return true;
  }
  return true;
}

rc::Gen<Fate> AnyFate() {
  return rc::gen::element(Fate::kNoConnection, Fate::kLostBeforeArrival, Fate::kRefuses,
                          Fate::kRefusesThenCut, Fate::kRunsThenCutBeforeAnswer,
                          Fate::kRunsThenCutInAnswer, Fate::kRunsThenTimesOut, Fate::kAnswers);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(attempt_state)

RC_BOOST_PROP(not_run_is_never_said_of_what_ran, ()) {
  AttemptState state;
  const bool ran = Play(*AnyFate(), state);
  if (state.execution() == Execution::kNotRun) RC_ASSERT(!ran);
  if (state.execution() == Execution::kRan) RC_ASSERT(ran);
}

RC_BOOST_PROP(a_call_that_is_not_repeatable_runs_at_most_once_over_all_attempts, ()) {
  const auto fates = *rc::gen::nonEmpty(rc::gen::container<std::vector<Fate>>(AnyFate()));
  int runs = 0;
  for (const Fate fate : fates) {
    AttemptState state;
    runs += Play(fate, state) ? 1 : 0;
    if (!state.MayRepeat(false)) break;
  }
  RC_ASSERT(runs <= 1);
}

BOOST_AUTO_TEST_CASE(nothing_received_can_be_taken_back) {
  AttemptState state;
  state.Start();
  state.TakeHead(false);
  state.TakeEnd(TransferOutcome::kNotSent);
  BOOST_TEST((state.execution() == Execution::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()
