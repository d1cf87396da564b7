#include "priority/urgency.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(urgency)

// Objectives of a fleet with urgent short streams beside patient long prompts. Ordering that is
// active elsewhere would delay requests of services whose objectives are all alike.
BOOST_AUTO_TEST_CASE(only_services_with_different_objectives_are_ordered) {
  const PriorityOptions options{.min_objective_ratio = 3};
  BOOST_TEST(OrdersRequests(options, 250ms, 1'000ms));
  BOOST_TEST(!OrdersRequests(options, 200ms, 400ms));
  BOOST_TEST(!OrdersRequests(options, 0ms, 0ms));
  BOOST_TEST(!OrdersRequests(PriorityOptions(), 250ms, 1'000ms));
  BOOST_TEST(!OrdersRequests({.enabled = false, .min_objective_ratio = 3}, 250ms, 1'000ms));
}

BOOST_AUTO_TEST_CASE(requests_below_the_geometric_mean_are_urgent) {
  BOOST_TEST((UrgencyOf(499ms, 250ms, 1'000ms) == Urgency::kUrgent));
  BOOST_TEST((UrgencyOf(500ms, 250ms, 1'000ms) == Urgency::kPatient));
}

// A request that waits for as long as its caller does is answered after the caller has left.
BOOST_AUTO_TEST_CASE(wait_ends_one_objective_before_the_caller_leaves) {
  BOOST_TEST((MaxWait(250ms, 300ms, 15s) == 2'150ms));
  BOOST_TEST((MaxWait(1'000ms, 300ms, 5s) == 3'000ms));
  BOOST_TEST((MaxWait(1'000ms, 300ms, 2'500ms) == 1'500ms));
  BOOST_TEST((MaxWait(1'000ms, 300ms, 500ms) == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()
