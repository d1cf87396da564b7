// Guards against bodies that together take more memory than the process may use.

#include "buffering/byte_queue.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;

BOOST_AUTO_TEST_SUITE(byte_queue)

BOOST_AUTO_TEST_CASE(demands_are_granted_in_order_as_room_is_returned) {
  ByteQueue queue(10);
  BOOST_TEST(queue.Take(8));
  const auto large = queue.Enqueue(6);
  const auto small = queue.Enqueue(2);
  // Guards against a large body that smaller ones pass over for ever.
  BOOST_TEST(!queue.Take(1));
  BOOST_TEST(queue.Return(3).empty());
  const auto granted = queue.Return(5);
  BOOST_TEST(granted.size() == 2U);
  BOOST_TEST((granted.front() == large && granted.back() == small));
  BOOST_TEST(queue.used() == 8U);
}

BOOST_AUTO_TEST_CASE(demand_that_leaves_lets_the_next_one_in) {
  ByteQueue queue(10);
  BOOST_TEST(queue.Take(8));
  const auto large = queue.Enqueue(6);
  const auto small = queue.Enqueue(2);
  const auto granted = queue.Leave(large);
  BOOST_TEST(granted.size() == 1U);
  BOOST_TEST((granted.front() == small));
  BOOST_TEST(queue.waiting() == 0U);
}

// Guards against requests that the configuration allows and that could never be served.
BOOST_AUTO_TEST_CASE(demand_above_the_capacity_is_granted_alone) {
  ByteQueue queue(10);
  BOOST_TEST(queue.Take(20));
  BOOST_TEST(!queue.Take(1));
  BOOST_TEST(queue.Return(20).empty());
  BOOST_TEST(queue.Take(1));
  const auto large = queue.Enqueue(20);
  BOOST_TEST((queue.Return(1).front() == large));
}

BOOST_AUTO_TEST_SUITE_END()
