#include "retry/retry_standing.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{1h};
constexpr auto kSpan = 10s;

RetryStandingInput Input() {
  RetryStandingInput input;
  input.process_started = kStart;
  input.member_since = kStart + 1s;
  input.counted_span = kSpan;
  return input;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(retry_standing)

// Guards against a new or returning member that spends a share which others still divide without
// it.
BOOST_AUTO_TEST_CASE(share_of_the_slack_is_usable_one_span_after_the_membership_began) {
  BOOST_TEST(!RetryStandingOf(Input(), kStart + 1s + kSpan - 1ms).has_share);
  BOOST_TEST(RetryStandingOf(Input(), kStart + 1s + kSpan).has_share);
}

// Guards against an instance that spends its share after its membership has lapsed.
BOOST_AUTO_TEST_CASE(without_a_membership_there_is_no_share) {
  RetryStandingInput input = Input();
  input.member_since.reset();
  BOOST_TEST(!RetryStandingOf(input, kStart + 1h).has_share);
}

// Guards against a new process that spends the budget of its predecessor again.
BOOST_AUTO_TEST_CASE(record_of_a_predecessor_holds_for_one_span_after_the_start) {
  RetryStandingInput input = Input();
  input.predecessor_recorded = true;
  BOOST_TEST(RetryStandingOf(input, kStart + kSpan - 1ms).predecessor_counts);
  BOOST_TEST(!RetryStandingOf(input, kStart + kSpan).predecessor_counts);
  input.predecessor_recorded = false;
  BOOST_TEST(!RetryStandingOf(input, kStart).predecessor_counts);
}

BOOST_AUTO_TEST_SUITE_END()
