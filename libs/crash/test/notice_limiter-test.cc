#include "crash/notice_limiter.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{1h};

int Taken(NoticeLimiter& limiter, std::uint32_t gateways, std::chrono::seconds time) {
  int taken = 0;
  for (TimePoint now = kStart; now < kStart + time; now += 1ms) {
    if (limiter.TryTake(gateways, now)) ++taken;
  }
  return taken;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(notice_limiter)

BOOST_AUTO_TEST_CASE(burst_is_followed_by_the_share_of_the_rate) {
  NoticeLimiter limiter({30, 4});
  BOOST_TEST(Taken(limiter, 10, 10s) <= 4 + 30);
  NoticeLimiter again({30, 4});
  BOOST_TEST(Taken(again, 10, 10s) >= 4 + 29);
}

BOOST_AUTO_TEST_CASE(all_gateways_of_a_large_fleet_stay_within_the_rate) {
  constexpr std::uint32_t kGateways = 1'000;
  NoticeLimiter limiter({30, 4});
  Taken(limiter, kGateways, 1s);
  int taken = 0;
  for (TimePoint now = kStart + 1s; now < kStart + 101s; now += 10ms) {
    if (limiter.TryTake(kGateways, now)) ++taken;
  }
  BOOST_TEST(taken * kGateways / 100 <= 30U);
}

BOOST_AUTO_TEST_SUITE_END()
