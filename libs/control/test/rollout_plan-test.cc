#include "control/rollout_plan.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(rollout_plan)

BOOST_AUTO_TEST_CASE(default_concurrency_is_used_without_time_pressure) {
  BOOST_TEST(RequiredLoadConcurrency(2, std::vector<Duration>(9, 8s), 1s) == 2);
  BOOST_TEST(RequiredLoadConcurrency(2, {}, 1s) == 2);
}

BOOST_AUTO_TEST_CASE(concurrency_rises_as_the_deadline_approaches) {
  BOOST_TEST(RequiredLoadConcurrency(2, std::vector<Duration>(9, 4s), 1s) == 3);
  BOOST_TEST(RequiredLoadConcurrency(2, std::vector<Duration>(9, 2s), 1s) == 5);
}

BOOST_AUTO_TEST_CASE(all_engines_load_at_once_past_the_deadline) {
  BOOST_TEST(RequiredLoadConcurrency(2, std::vector<Duration>(9, 500ms), 1s) == 9);
  BOOST_TEST(RequiredLoadConcurrency(2, std::vector<Duration>(9, -1s), 1s) == 9);
}

// An engine that is still late with weights named earlier must not raise the concurrency for the
// weights named next: five concurrent loads instead of two slowed all of them down.
BOOST_AUTO_TEST_CASE(one_late_engine_does_not_raise_the_concurrency_of_others) {
  std::vector<Duration> time_left(8, 6s);
  time_left.push_back(2500ms);
  BOOST_TEST(RequiredLoadConcurrency(2, time_left, 1s) == 2);
}

BOOST_AUTO_TEST_SUITE_END()
