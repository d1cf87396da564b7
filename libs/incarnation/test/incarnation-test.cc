#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "incarnation/answer_end.h"

using namespace ridgehold;

namespace {

ProcessStatement Told(std::uint64_t started, bool expected_id = true) {
  return {expected_id, StartStamp(started)};
}

EndEvidence Responded(std::uint64_t writer, const ProcessStatement& statement) {
  EndEvidence evidence;
  evidence.writer = StartStamp(writer);
  evidence.responded = true;
  evidence.statement = statement;
  return evidence;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(incarnation)

BOOST_AUTO_TEST_CASE(process_matches_by_its_start) {
  BOOST_TEST((Match(StartStamp(5), Told(5)) == ProcessMatch::kSame));
  BOOST_TEST((Match(StartStamp(5), Told(6)) == ProcessMatch::kOther));
  // The wall clock of a host may have been set back before the restart.
  BOOST_TEST((Match(StartStamp(5), Told(4)) == ProcessMatch::kOther));
}

BOOST_AUTO_TEST_CASE(nothing_is_concluded_from_a_start_that_is_not_known) {
  BOOST_TEST((Match(StartStamp(), Told(5)) == ProcessMatch::kUnknown));
  BOOST_TEST((Match(StartStamp(5), Told(0)) == ProcessMatch::kUnknown));
  BOOST_TEST((Match(StartStamp(), Told(0, false)) == ProcessMatch::kOther));
}

// Guards against streams of two unregistered processes being joined.
RC_BOOST_PROP(unregistered_processes_share_no_release, (std::uint32_t a, std::uint32_t b)) {
  const auto release = [](std::uint32_t started) {
    return UnregisteredRelease(BackendId("b1"), StartStamp(started));
  };
  RC_ASSERT((release(a) == release(b)) == (a == b));
}

// Guards against a process being taken for the registered one because it did not say.
BOOST_AUTO_TEST_CASE(process_is_registered_if_it_has_told_the_registered_start) {
  BOOST_TEST(IsRegistered(StartStamp(5), StartStamp(5)));
  BOOST_TEST(!IsRegistered(StartStamp(5), StartStamp(6)));
  BOOST_TEST(!IsRegistered(StartStamp(5), StartStamp()));
  BOOST_TEST(IsRegistered(StartStamp(), StartStamp(5)));
  BOOST_TEST(IsRegistered(StartStamp(), StartStamp()));
}

BOOST_AUTO_TEST_CASE(answer_of_a_process_that_lives_on_is_complete) {
  BOOST_TEST((JudgeEnd(Responded(5, Told(5))) == EndVerdict::kComplete));
  BOOST_TEST((JudgeEnd(Responded(0, Told(0))) == EndVerdict::kComplete));
  EndEvidence older = Responded(5, Told(6));
  older.on_older_connection = true;  // the registration is that of its predecessor
  BOOST_TEST((JudgeEnd(older) == EndVerdict::kComplete));
  older.statement.reset();
  BOOST_TEST((JudgeEnd(older) == EndVerdict::kComplete));
}

// Guards against a successor that does not tell its start yet vouching for its predecessor.
BOOST_AUTO_TEST_CASE(nothing_is_concluded_from_a_response_that_says_nothing) {
  EndEvidence silent = Responded(5, Told(5));
  silent.statement.reset();
  BOOST_TEST((JudgeEnd(silent) == EndVerdict::kUndecided));
  silent.writer = StartStamp();
  BOOST_TEST((JudgeEnd(silent) == EndVerdict::kComplete));
}

// Guards against a successor at the address vouching for the answer of a killed process.
BOOST_AUTO_TEST_CASE(answer_of_a_process_that_was_replaced_is_cut_off) {
  BOOST_TEST((JudgeEnd(Responded(5, Told(6))) == EndVerdict::kCutOff));
  EndEvidence other_id = Responded(0, Told(0, false));
  other_id.on_older_connection = true;
  BOOST_TEST((JudgeEnd(other_id) == EndVerdict::kCutOff));
}

BOOST_AUTO_TEST_CASE(answer_is_cut_off_if_nothing_listens_any_more) {
  EndEvidence evidence;
  evidence.refused = true;
  BOOST_TEST((JudgeEnd(evidence) == EndVerdict::kCutOff));
}

// Guards against silence being taken for proof.
BOOST_AUTO_TEST_CASE(nothing_is_concluded_from_silence) {
  BOOST_TEST((JudgeEnd(EndEvidence()) == EndVerdict::kUndecided));
}

BOOST_AUTO_TEST_SUITE_END()
