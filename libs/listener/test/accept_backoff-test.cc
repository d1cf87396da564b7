// Guards against an accept loop that spins, and logs without bound, while descriptors are short.

#include "listener/accept_backoff.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(accept_backoff)

BOOST_AUTO_TEST_CASE(pause_doubles_up_to_its_maximum_and_is_reset_by_a_success) {
  AcceptBackoff backoff;
  TimePoint now{};
  for (const auto expected : {50ms, 100ms, 200ms, 400ms, 800ms, 1'000ms, 1'000ms}) {
    const auto decision = backoff.OnFailure(AcceptBackoff::Fault::kShortage, now);
    BOOST_TEST(decision.pause.count() == expected.count());
    now += decision.pause;
  }
  backoff.OnSuccess();
  const auto decision = backoff.OnFailure(AcceptBackoff::Fault::kShortage, now);
  BOOST_TEST(decision.pause.count() == 50);
}

// Guards against other clients that wait because one has reset its connection.
BOOST_AUTO_TEST_CASE(connection_reset_by_its_client_causes_no_pause) {
  AcceptBackoff backoff;
  BOOST_TEST(backoff.OnFailure(AcceptBackoff::Fault::kClient, TimePoint{}).pause.count() == 0);
}

BOOST_AUTO_TEST_CASE(one_line_a_second_counts_all_failures) {
  AcceptBackoff backoff;
  const TimePoint start{1h};
  std::uint64_t lines = 0;
  std::uint64_t logged = 0;
  for (int i = 0; i <= 3'000; ++i) {
    const auto decision = backoff.OnFailure(AcceptBackoff::Fault::kClient, start + i * 1ms);
    lines += decision.failures_to_log > 0 ? 1 : 0;
    logged += decision.failures_to_log;
  }
  BOOST_TEST(lines == 4U);
  BOOST_TEST(logged == 3'001U);
}

BOOST_AUTO_TEST_SUITE_END()
