// What the messages of a quota may do, explored step by step: never more than allowed, and each
// rule of the protocol is needed for that.

#include "model/quota_checker.h"

#include <boost/test/unit_test.hpp>

namespace ridgehold::model {
namespace {

std::string TextOf(const CheckerResult& result) {
  std::string text = std::to_string(result.states) + " states";
  if (!result.violation) return text;
  for (const std::string& step : *result.violation) text += "\n  " + step;
  return text;
}

/// Messages go in turn, so that long ways are reached.
CheckerBounds InTurn(int asks, int ticks, int handovers) {
  CheckerBounds bounds;
  bounds.one_at_a_time = true;
  bounds.asks = asks;
  bounds.ticks = ticks;
  bounds.handovers = handovers;
  bounds.late_ticks = 0;
  bounds.losses = 0;
  bounds.repeats = 0;
  bounds.restarts = 0;
  bounds.lowerings = 0;
  bounds.sleeps = 0;
  return bounds;
}

void CheckNeverMore(const CheckerBounds& bounds) {
  const CheckerResult result = CheckQuota(bounds, LeftOut::kNothing);
  BOOST_TEST(!result.violation.has_value(), TextOf(result));
}

void CheckNeeded(LeftOut rule, const CheckerBounds& bounds) {
  BOOST_TEST(CheckQuota(bounds, rule).violation.has_value());
  CheckNeverMore(bounds);
}

BOOST_AUTO_TEST_SUITE(quota_checker)

BOOST_AUTO_TEST_CASE(messages_lost_repeated_reordered_and_late) {
  CheckerBounds bounds;
  bounds.asks = 2;
  bounds.ticks = 2;
  bounds.handovers = 1;
  CheckNeverMore(bounds);
}

BOOST_AUTO_TEST_CASE(restarts_handovers_and_a_lowered_quota) {
  CheckerBounds bounds = InTurn(6, 4, 2);
  bounds.clients = 1;
  bounds.restarts = 1;
  bounds.lowerings = 1;
  CheckNeverMore(bounds);
}

BOOST_AUTO_TEST_CASE(faults_of_all_kinds_with_messages_in_turn) {
  CheckerBounds bounds = InTurn(3, 3, 1);
  bounds.late_ticks = 2;
  bounds.losses = 1;
  bounds.repeats = 1;
  bounds.restarts = 1;
  bounds.sleeps = 1;
  CheckNeverMore(bounds);
}

BOOST_AUTO_TEST_CASE(a_holder_stops_when_its_lease_has_ended) {
  CheckNeeded(LeftOut::kLeaseEnds, InTurn(5, 3, 1));
}

BOOST_AUTO_TEST_CASE(a_share_that_was_away_begins_anew) {
  CheckNeeded(LeftOut::kNewTaking, InTurn(4, 3, 2));
}

BOOST_AUTO_TEST_CASE(a_late_grant_is_void) {
  CheckerBounds bounds = InTurn(3, 3, 0);
  bounds.clients = 1;
  bounds.late_ticks = 2;
  CheckNeeded(LeftOut::kLateIsVoid, bounds);
}

BOOST_AUTO_TEST_CASE(what_runs_is_not_given_back) {
  CheckNeeded(LeftOut::kRefundUnusedOnly, InTurn(3, 1, 0));
}

// Whoever was given up on may grant while the client rests, and be asked again after that.
BOOST_AUTO_TEST_CASE(asking_goes_on_while_nobody_answers) {
  CheckerBounds bounds = InTurn(3, 7, 1);
  bounds.clients = 1;
  bounds.late_ticks = 7;
  bounds.losses = 1;
  bounds.restarts = 1;
  bounds.patience = 8;
  CheckNeverMore(bounds);
}

/// As for a backend server that names a limit: its zone's holder grants all of it.
CheckerBounds OneShare(CheckerBounds bounds) {
  bounds.shares = 1;
  return bounds;
}

BOOST_AUTO_TEST_CASE(limit_of_a_server_with_messages_lost_repeated_reordered_and_late) {
  CheckerBounds bounds;
  bounds.asks = 3;
  bounds.ticks = 2;
  bounds.handovers = 1;
  CheckNeverMore(OneShare(bounds));
}

BOOST_AUTO_TEST_CASE(limit_of_a_server_that_is_lowered_while_holders_restart) {
  CheckerBounds bounds = InTurn(6, 4, 2);
  bounds.restarts = 1;
  bounds.lowerings = 1;
  bounds.sleeps = 1;
  CheckNeverMore(OneShare(bounds));
}

BOOST_AUTO_TEST_CASE(limit_of_a_server_needs_each_rule) {
  CheckNeeded(LeftOut::kLeaseEnds, OneShare(InTurn(5, 3, 1)));
  CheckNeeded(LeftOut::kNewTaking, OneShare(InTurn(4, 3, 2)));
  CheckNeeded(LeftOut::kRefundUnusedOnly, OneShare(InTurn(3, 1, 0)));
  CheckerBounds late = OneShare(InTurn(3, 3, 0));
  late.clients = 1;
  late.late_ticks = 2;
  CheckNeeded(LeftOut::kLateIsVoid, late);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ridgehold::model
