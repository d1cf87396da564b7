#include "groups/group_size.h"

#include <boost/test/unit_test.hpp>

#include "groups/group_sizer.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{1h};

/// 112 engines with 12 slots that prefill 110 tokens/ms, and the demand of 149 short streams per
/// second that run 0.4 s each beside 395 long prompts per second.
constexpr GroupCapacity kCapacity{112, 12, 110, 0.125};
constexpr DemandSample kDemand{60, 149 * 628, 395 * 2'890};

DemandSample WithBulkRate(double rate) {
  DemandSample demand = kDemand;
  demand.bulk_rate = rate;
  return demand;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(group_size)

BOOST_AUTO_TEST_CASE(group_has_room_for_the_demand) {
  BOOST_TEST(*RequiredGroupSize(kDemand, kCapacity) == 10);  // 60 running in half of 12 slots
  DemandSample short_outputs = kDemand;
  short_outputs.interactive_running = 6;
  BOOST_TEST(*RequiredGroupSize(short_outputs, kCapacity) == 3);  // 93,572 of 33,000 tokens/s
}

BOOST_AUTO_TEST_CASE(group_is_smaller_when_bulk_requests_need_the_engines) {
  BOOST_TEST(*RequiredGroupSize(WithBulkRate(0.69 * 102 * 110'000), kCapacity) == 10);
  BOOST_TEST(*RequiredGroupSize(WithBulkRate(0.71 * 102 * 110'000), kCapacity) == 7);
}

BOOST_AUTO_TEST_CASE(one_kind_of_request_needs_no_group) {
  BOOST_TEST(*RequiredGroupSize({0, 0, 1e6}, kCapacity) == 0);
  BOOST_TEST(!RequiredGroupSize(WithBulkRate(0), kCapacity).has_value());
}

// Otherwise a flood of short prompts would leave the long ones without engines.
BOOST_AUTO_TEST_CASE(group_has_at_most_its_part_of_the_engines) {
  BOOST_TEST(*RequiredGroupSize({1e5, 1e9, 1e6}, kCapacity) == 14);
  BOOST_TEST(*RequiredGroupSize({1e5, 1e9, 1e6}, {112, 12, 110, 1.0 / 3}) == 37);
  BOOST_TEST(*RequiredGroupSize(kDemand, {7, 12, 110, 0.125}) == 0);
  BOOST_TEST(*RequiredGroupSize(kDemand, {112, 12, 110, 0}) == 0);
}

BOOST_AUTO_TEST_CASE(group_grows_at_once_and_shrinks_slowly) {
  GroupSizer sizer;
  BOOST_TEST(sizer.Update(10, 56, kStart) == 10);
  BOOST_TEST(sizer.Update(9, 56, kStart + 1h) == 10);  // within the sampling error
  BOOST_TEST(sizer.Update(4, 56, kStart + 1h) == 9);
  BOOST_TEST(sizer.Update(4, 56, kStart + 1h + 1'900ms) == 9);
  BOOST_TEST(sizer.Update(4, 56, kStart + 1h + 2s) == 8);
  BOOST_TEST(sizer.Update(12, 56, kStart + 1h + 2s) == 12);
  BOOST_TEST(sizer.Update(12, 5, kStart + 1h + 2s) == 5);  // half of the engines were lost
  BOOST_TEST(sizer.Update(std::nullopt, 56, kStart + 1h + 2s) == 0);
  BOOST_TEST(sizer.Update(1, 56, kStart + 1h + 2s) == 1);
  BOOST_TEST(sizer.Update(0, 56, kStart + 1h + 4s) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
