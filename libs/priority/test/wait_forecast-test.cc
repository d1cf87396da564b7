#include "priority/wait_forecast.h"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "priority/arrival_refusals.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  WaitForecast forecast;
  ArrivalRefusals refusals;
  TimePoint now = TimePoint(100s);
  RequestOrder urgent{Urgency::kUrgent, false, 2'150ms};

  Duration Forecast() const { return forecast.ForecastFor(urgent, now); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(wait_forecast, Fixture)

// The pattern: an overload in which each request is sent only when its wait has expired. A request
// that arrives then would be answered after its caller has left.
BOOST_AUTO_TEST_CASE(forecast_exceeds_the_maximum_wait_when_all_waits_expire) {
  for (int request = 0; request < 10; ++request) {
    now += 50ms;
    forecast.RecordAdmitted(urgent, true, urgent.max_wait + 30ms, now);
  }
  BOOST_TEST(Forecast().count() > urgent.max_wait.count());
  forecast.RecordAdmitted(urgent, true, 20ms, now);
  BOOST_TEST(Forecast().count() < urgent.max_wait.count());
}

// A late request waits behind new ones, so its expired wait alone must not refuse them.
BOOST_AUTO_TEST_CASE(one_late_request_refuses_no_others) {
  const WaitForecast::Ticket ticket(forecast, urgent, now);
  now += 1s;
  BOOST_TEST((Forecast() == 1s));
  now += 2s;
  BOOST_TEST((Forecast() == urgent.max_wait));
}

BOOST_AUTO_TEST_CASE(forecast_ends_with_the_waits) {
  forecast.RecordAdmitted(urgent, true, 3s, now);
  now += 999ms;
  BOOST_TEST((Forecast() == 3s));
  now += 2ms;
  BOOST_TEST((Forecast() == 0s));
  forecast.RecordAdmitted(urgent, false, 1ms, now);
  BOOST_TEST((Forecast() == 0s));
}

BOOST_AUTO_TEST_CASE(classes_have_forecasts_of_their_own) {
  forecast.RecordAdmitted({Urgency::kPatient, true, 3s}, true, 4s, now);
  BOOST_TEST((Forecast() == 0s));
  BOOST_TEST((forecast.ForecastFor({Urgency::kPatient, false, 3s}, now) == 0s));
  BOOST_TEST((forecast.ForecastFor({Urgency::kPatient, true, 3s}, now) == 4s));
}

// Callers that retry at once would otherwise be admitted before those that wait as told.
BOOST_AUTO_TEST_CASE(early_retry_gets_the_remaining_delay) {
  refusals.Record(7, 1'500ms, now);
  now += 400ms;
  BOOST_TEST((refusals.TimeLeft(7, now) == 1'100ms));
  BOOST_TEST(!refusals.TimeLeft(8, now));
  now += 1'100ms;
  BOOST_TEST(!refusals.TimeLeft(7, now));
}

BOOST_AUTO_TEST_CASE(refusals_are_bounded_and_expire) {
  constexpr std::uint64_t kMost = ArrivalRefusals::kMaxRefusals + 5;
  for (std::uint64_t request = 1; request <= kMost; ++request) refusals.Record(request, 1s, now);
  BOOST_TEST(refusals.size() == ArrivalRefusals::kMaxRefusals);
  BOOST_TEST(!refusals.TimeLeft(5, now));
  BOOST_TEST(refusals.TimeLeft(6, now).has_value());
  now += 2s;
  refusals.Record(1, 1s, now);
  BOOST_TEST(refusals.size() == 1U);
}

// Requests that were refused at the same moment would otherwise return at the same moment.
BOOST_AUTO_TEST_CASE(retry_delays_are_spread) {
  BOOST_TEST((RetryAfterForecast(2'200ms, 250ms, 0) == 1'700ms));
  BOOST_TEST((RetryAfterForecast(2'200ms, 250ms, UINT64_MAX) == 2'550ms));
  BOOST_TEST((RetryAfterForecast(100ms, 250ms, 0) == 63ms));
}

BOOST_AUTO_TEST_SUITE_END()
