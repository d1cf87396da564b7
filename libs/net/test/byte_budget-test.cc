#include "net/byte_budget.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

using namespace ridgehold;

BOOST_AUTO_TEST_SUITE(byte_budget)

BOOST_AUTO_TEST_CASE(buffer_grows_to_what_is_left_free) {
  ByteBudget budget(100);
  ByteBudget::Share first(budget);
  BOOST_TEST(first.Resize(50));
  BOOST_TEST(!first.Resize(51));
  ByteBudget::Share second(budget);
  BOOST_TEST(second.Resize(25));
  BOOST_TEST(!second.Resize(26));
  BOOST_TEST(budget.used() == 75U);
}

BOOST_AUTO_TEST_CASE(many_growing_buffers_leave_room_for_a_small_one) {
  ByteBudget budget(1'000);
  std::vector<std::unique_ptr<ByteBudget::Share>> shares;
  for (int i = 0; i < 9; ++i) shares.push_back(std::make_unique<ByteBudget::Share>(budget));
  for (std::size_t bytes = 1; bytes < 1'000; ++bytes) {
    for (const auto& share : shares) share->Resize(bytes);
  }
  BOOST_TEST(budget.used() <= 1'000U);
  ByteBudget::Share small(budget);
  BOOST_TEST(small.Resize(40));
}

BOOST_AUTO_TEST_CASE(destroyed_buffer_returns_its_bytes) {
  ByteBudget budget(100);
  {
    ByteBudget::Share share(budget);
    BOOST_TEST(share.Resize(40));
    BOOST_TEST(share.Resize(10));
    BOOST_TEST(budget.used() == 10U);
  }
  BOOST_TEST(budget.used() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
