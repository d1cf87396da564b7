#include "control/load_durations.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(load_times)

BOOST_AUTO_TEST_CASE(untried_numbers_are_believed_in_up_to_twice_the_known) {
  LoadDurations times;
  BOOST_TEST(times.MaxUsefulConcurrency(2) == 4U);
  times.Record(4, 710ms);
  BOOST_TEST(times.MaxUsefulConcurrency(2) == 8U);
}

// The pattern: a rollout that is late. Engines take 0.31 s more for each load beyond two.
BOOST_AUTO_TEST_CASE(loads_that_share_a_bound_are_not_hurried) {
  LoadDurations times;
  times.Record(1, 709ms);
  times.Record(2, 708ms);
  times.Record(3, 1'018ms);
  times.Record(4, 1'329ms);
  BOOST_TEST(times.MaxUsefulConcurrency(2) == 2U);
}

BOOST_AUTO_TEST_CASE(one_slow_load_of_the_usual_number_says_nothing_of_more) {
  LoadDurations times;
  times.Record(1, 700ms);
  times.Record(2, 4s);
  BOOST_TEST(times.MaxUsefulConcurrency(2) == 4U);
}

BOOST_AUTO_TEST_CASE(nonsense_is_passed_over) {
  LoadDurations times;
  times.Record(0, 1s);
  times.Record(3, 0ms);
  times.Record(3, -5s);
  BOOST_TEST(times.MaxUsefulConcurrency(0) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
