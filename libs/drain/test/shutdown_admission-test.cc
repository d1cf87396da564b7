#include "drain/shutdown_admission.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const RuleId kRoute("route");
const TimePoint kNow = TimePoint() + 1h;

PendingRequest Unrepeatable() { return {kRoute, false, kNow + 12s}; }
PendingRequest Repeatable() { return {kRoute, true, kNow + 12s}; }

ServiceTimes TimesOf(Duration usual, int count = 20) {
  ServiceTimes times;
  for (int i = 0; i < count; ++i) times.Record(kRoute, usual);
  return times;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(shutdown_admission)

// Guards against requests that are passed on and cut off at the end of the grace time.
BOOST_AUTO_TEST_CASE(request_that_takes_longer_than_the_rest_does_not_fit) {
  const ServiceTimes times = TimesOf(5s);
  BOOST_TEST(!FitsBefore(kNow + 4'900ms, Unrepeatable(), times, kNow));
  BOOST_TEST(!FitsBefore(kNow + 4'900ms, Repeatable(), times, kNow));
  BOOST_TEST(FitsBefore(kNow + 5s, Unrepeatable(), times, kNow));
  BOOST_TEST(FitsBefore(kNow + 5s, Repeatable(), times, kNow));
}

BOOST_AUTO_TEST_CASE(one_slow_request_keeps_out_only_what_may_not_be_repeated) {
  ServiceTimes times = TimesOf(100ms);
  times.Record(kRoute, 5s);
  BOOST_TEST(!FitsBefore(kNow + 1s, Unrepeatable(), times, kNow));
  BOOST_TEST(FitsBefore(kNow + 1s, Repeatable(), times, kNow));
}

BOOST_AUTO_TEST_CASE(request_whose_time_limit_ends_before_fits) {
  PendingRequest request = Unrepeatable();
  request.answer_by = kNow + 1s;
  BOOST_TEST(FitsBefore(kNow + 1s, request, TimesOf(5s), kNow));
}

BOOST_AUTO_TEST_CASE(without_known_times_only_repeatable_requests_fit) {
  BOOST_TEST(!FitsBefore(kNow + 1s, Unrepeatable(), ServiceTimes(), kNow));
  BOOST_TEST(FitsBefore(kNow + 1s, Repeatable(), ServiceTimes(), kNow));
  BOOST_TEST(!FitsBefore(kNow, Repeatable(), ServiceTimes(), kNow));
}

BOOST_AUTO_TEST_CASE(old_times_are_forgotten) {
  ServiceTimes times = TimesOf(5s);
  for (std::size_t i = 0; i < ServiceTimes::kSamples; ++i) times.Record(kRoute, 100ms);
  BOOST_TEST(FitsBefore(kNow + 1s, Unrepeatable(), times, kNow));
}

BOOST_AUTO_TEST_CASE(number_of_routes_is_bounded) {
  ServiceTimes times;
  for (int i = 0; i < 3'000; ++i) times.Record(RuleId("r" + std::to_string(i)), 1s);
  int known = 0;
  for (int i = 0; i < 3'000; ++i)
    known += times.Quantile(RuleId("r" + std::to_string(i)), 1) ? 1 : 0;
  BOOST_TEST(known == 1'000);
}

BOOST_AUTO_TEST_SUITE_END()
