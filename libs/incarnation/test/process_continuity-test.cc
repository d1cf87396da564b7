#include "incarnation/process_continuity.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

constexpr auto kWait = ProcessContinuity::kRegistrationTime;

TimePoint At(std::chrono::milliseconds time) { return TimePoint() + 1h + time; }

/// A connection opened at 0 was last alive at 1 s and found closed at 1.1 s.
ProcessContinuity Ended() {
  ProcessContinuity process;
  process.RecordEnd(At(0ms), At(1'000ms), At(1'100ms));
  return process;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(process_continuity)

// Guards against sound servers that are withheld.
BOOST_AUTO_TEST_CASE(server_without_evidence_is_the_registered_one) {
  ProcessContinuity process;
  process.RecordContact(At(0ms));
  BOOST_TEST(process.IsRegistered(At(0ms)));
  BOOST_TEST(process.IsRegistered(At(5'000ms), At(0ms)));
}

// Guards against streams at a process that started unseen before the evidence was.
BOOST_AUTO_TEST_CASE(connections_since_the_last_sign_of_life_are_in_doubt) {
  const ProcessContinuity process = Ended();
  BOOST_TEST(!process.IsRegistered(At(1'050ms)));
  BOOST_TEST(process.IsRegistered(At(999ms), At(1'050ms)));
  BOOST_TEST(!process.IsRegistered(At(1'001ms), At(1'050ms)));
}

// Guards against a registration that is believed although the next process started after it.
BOOST_AUTO_TEST_CASE(doubt_ends_a_registration_time_after_the_first_contact) {
  ProcessContinuity process = Ended();
  BOOST_TEST(!process.IsRegistered(At(1h)));
  process.RecordContact(At(9'000ms));
  process.RecordContact(At(9'500ms));
  BOOST_TEST(!process.IsRegistered(At(9'000ms) + kWait - 1ms));
  BOOST_TEST(process.IsRegistered(At(9'000ms) + kWait));
  BOOST_TEST(process.IsRegistered(At(9'800ms), At(9'000ms) + kWait));
}

// Guards against a doubt that never ends where no connection is opened after the evidence.
BOOST_AUTO_TEST_CASE(connection_that_is_old_enough_is_known) {
  const ProcessContinuity process = Ended();
  BOOST_TEST(!process.IsRegistered(At(1'050ms), At(1'050ms) + kWait - 1ms));
  BOOST_TEST(process.IsRegistered(At(1'050ms), At(1'050ms) + kWait));
}

// Guards against a message to other gateways for each connection that is refused.
BOOST_AUTO_TEST_CASE(refused_connections_are_one_end) {
  ProcessContinuity process;
  BOOST_TEST(process.RecordEnd(At(1'000ms), At(1'000ms), At(1'000ms)));
  BOOST_TEST(!process.RecordEnd(At(1'200ms), At(1'200ms), At(1'200ms)));
  process.RecordContact(At(1'300ms));
  BOOST_TEST(process.RecordEnd(At(1'400ms), At(1'400ms), At(1'400ms)));
}

// Guards against a second restart that is taken for the first.
BOOST_AUTO_TEST_CASE(next_process_may_end_as_well) {
  ProcessContinuity process = Ended();
  process.RecordContact(At(1'200ms));
  process.RecordEnd(At(1'200ms), At(2'000ms), At(2'100ms));
  BOOST_TEST(!process.IsRegistered(At(1'200ms) + kWait));
  BOOST_TEST(!process.IsRegistered(At(1'150ms), At(2'100ms)));
  process.RecordContact(At(2'200ms));
  BOOST_TEST(process.IsRegistered(At(2'200ms) + kWait));
}

// Guards against doubt that begins anew with each connection of the process that has ended.
BOOST_AUTO_TEST_CASE(late_evidence_of_the_same_end_changes_nothing) {
  ProcessContinuity process = Ended();
  process.RecordContact(At(1'200ms));
  process.RecordEnd(At(500ms), At(900ms), At(4'000ms));
  BOOST_TEST(process.IsRegistered(At(1'200ms) + kWait));
}

// Guards against doubts about a server that has only broken off one answer.
BOOST_AUTO_TEST_CASE(response_on_an_older_connection_shows_that_the_process_lives) {
  ProcessContinuity process = Ended();
  process.RecordAnswer(At(500ms), At(1'050ms));
  process.RecordAnswer(At(1'050ms), At(1'200ms));
  BOOST_TEST(!process.IsRegistered(At(1'200ms)));
  process.RecordAnswer(At(500ms), At(1'200ms));
  BOOST_TEST(process.IsRegistered(At(1'200ms)));
}

// Guards against an end that is not noticed because earlier evidence was wrong.
BOOST_AUTO_TEST_CASE(end_after_wrong_evidence_is_noticed) {
  ProcessContinuity process = Ended();
  process.RecordAnswer(At(500ms), At(2'000ms));
  BOOST_TEST(process.IsRegistered(At(2'100ms)));
  process.RecordEnd(At(500ms), At(3'000ms), At(3'100ms));
  BOOST_TEST(!process.IsRegistered(At(3'050ms)));
  BOOST_TEST(!process.IsRegistered(At(3'200ms), At(3'050ms)));
}

// Guards against doubt that lasts as long as no new connection is needed.
BOOST_AUTO_TEST_CASE(response_counts_as_contact_since_its_connection_was_opened) {
  ProcessContinuity process = Ended();
  process.RecordAnswer(At(1'050ms), At(1'200ms));
  BOOST_TEST(!process.IsRegistered(At(1'050ms) + kWait - 1ms));
  BOOST_TEST(process.IsRegistered(At(1'050ms) + kWait));
}

BOOST_AUTO_TEST_CASE(registration_of_another_release_settles_the_doubt) {
  ProcessContinuity process = Ended();
  process.RecordNextRegistration();
  BOOST_TEST(process.IsRegistered(At(1'150ms), At(1'150ms)));
}

// Guards against streams at a process whose predecessor's end only other gateways saw.
BOOST_AUTO_TEST_CASE(end_that_another_gateway_saw_puts_new_connections_in_doubt) {
  ProcessContinuity process;
  process.RecordReportedEnd(At(1'000ms), At(1'100ms));
  BOOST_TEST(!process.IsRegistered(At(1'050ms), At(1'100ms)));
  BOOST_TEST(process.IsRegistered(At(999ms), At(1'100ms)));
  BOOST_TEST((process.PendingEnd(At(1'100ms)) == At(1'000ms)));
  process.RecordContact(At(1'200ms));
  BOOST_TEST(process.IsRegistered(At(1'200ms) + kWait));
  BOOST_TEST(!process.PendingEnd(At(1'200ms) + kWait));
}

// Guards against doubt that begins anew with each gateway that tells of the same end.
BOOST_AUTO_TEST_CASE(report_of_a_known_end_changes_nothing) {
  ProcessContinuity process = Ended();
  process.RecordContact(At(1'200ms));
  process.RecordReportedEnd(At(1'400ms), At(1'500ms));
  BOOST_TEST(process.IsRegistered(At(1'200ms) + kWait));
  process.RecordReportedEnd(At(1'601ms), At(1'700ms));
  BOOST_TEST(!process.IsRegistered(At(1'200ms) + kWait));
}

BOOST_AUTO_TEST_SUITE_END()
