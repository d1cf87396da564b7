#include "control/load_times.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(load_times)

BOOST_AUTO_TEST_CASE(untried_numbers_are_believed_in_up_to_twice_the_known) {
  LoadTimes times;
  BOOST_TEST(times.MostUseful(2) == 4U);
  times.Note(4, 710ms);
  BOOST_TEST(times.MostUseful(2) == 8U);
}

// The pattern: a rollout that is late. Engines take 0.31 s more for each load beyond two.
BOOST_AUTO_TEST_CASE(loads_that_share_a_bound_are_not_hurried) {
  LoadTimes times;
  times.Note(1, 709ms);
  times.Note(2, 708ms);
  times.Note(3, 1'018ms);
  times.Note(4, 1'329ms);
  BOOST_TEST(times.MostUseful(2) == 2U);
}

BOOST_AUTO_TEST_CASE(one_slow_load_of_the_usual_number_says_nothing_of_more) {
  LoadTimes times;
  times.Note(1, 700ms);
  times.Note(2, 4s);
  BOOST_TEST(times.MostUseful(2) == 4U);
}

BOOST_AUTO_TEST_CASE(nonsense_is_passed_over) {
  LoadTimes times;
  times.Note(0, 1s);
  times.Note(3, 0ms);
  times.Note(3, -5s);
  BOOST_TEST(times.MostUseful(0) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
