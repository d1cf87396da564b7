#include "control/load_durations.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(load_durations)

BOOST_AUTO_TEST_CASE(untried_concurrency_is_assumed_useful_up_to_twice_the_known) {
  LoadDurations times;
  BOOST_TEST(times.MaxUsefulConcurrency(2) == 4U);
  times.Record(4, 710ms);
  BOOST_TEST(times.MaxUsefulConcurrency(2) == 8U);
}

// Durations of a late rollout: each load beyond two concurrent ones adds 0.31 s.
BOOST_AUTO_TEST_CASE(loads_that_share_a_bottleneck_do_not_raise_the_concurrency) {
  LoadDurations times;
  times.Record(1, 709ms);
  times.Record(2, 708ms);
  times.Record(3, 1'018ms);
  times.Record(4, 1'329ms);
  BOOST_TEST(times.MaxUsefulConcurrency(2) == 2U);
}

BOOST_AUTO_TEST_CASE(one_slow_load_at_the_usual_concurrency_is_no_limit) {
  LoadDurations times;
  times.Record(1, 700ms);
  times.Record(2, 4s);
  BOOST_TEST(times.MaxUsefulConcurrency(2) == 4U);
}

BOOST_AUTO_TEST_CASE(invalid_records_are_ignored) {
  LoadDurations times;
  times.Record(0, 1s);
  times.Record(3, 0ms);
  times.Record(3, -5s);
  BOOST_TEST(times.MaxUsefulConcurrency(0) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
