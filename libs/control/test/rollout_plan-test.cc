#include "control/rollout_plan.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(rollout_plan)

BOOST_AUTO_TEST_CASE(with_time_enough_the_usual_number_loads_at_once) {
  BOOST_TEST(RequiredLoadConcurrency(2, std::vector<Duration>(9, 8s), 1s) == 2);
  BOOST_TEST(RequiredLoadConcurrency(2, {}, 1s) == 2);
}

BOOST_AUTO_TEST_CASE(more_load_at_once_as_the_bound_comes_near) {
  BOOST_TEST(RequiredLoadConcurrency(2, std::vector<Duration>(9, 4s), 1s) == 3);
  BOOST_TEST(RequiredLoadConcurrency(2, std::vector<Duration>(9, 2s), 1s) == 5);
}

BOOST_AUTO_TEST_CASE(past_the_bound_all_load) {
  BOOST_TEST(RequiredLoadConcurrency(2, std::vector<Duration>(9, 500ms), 1s) == 9);
  BOOST_TEST(RequiredLoadConcurrency(2, std::vector<Duration>(9, -1s), 1s) == 9);
}

// Found on a calm day with two namings: one engine that was late for the first had five
// load at once for the second, which slowed all loads.
BOOST_AUTO_TEST_CASE(one_late_engine_does_not_hurry_those_that_have_time) {
  std::vector<Duration> time_left(8, 6s);
  time_left.push_back(2500ms);
  BOOST_TEST(RequiredLoadConcurrency(2, time_left, 1s) == 2);
}

BOOST_AUTO_TEST_SUITE_END()
