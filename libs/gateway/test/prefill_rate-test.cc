#include "gateway/prefill_rate.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

constexpr double kPrior = 56;

Duration TimeToRead(double tokens, double speed) {
  return std::chrono::duration_cast<Duration>(
             std::chrono::duration<double, std::milli>(tokens / speed)) +
         PrefillRateEstimator::kFixedOverhead;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(reading_speed)

BOOST_AUTO_TEST_CASE(prior_holds_until_something_was_seen) {
  BOOST_TEST(PrefillRateEstimator(kPrior).tokens_per_ms() == kPrior,
             boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(slower_engines_are_known_after_thirty_prompts) {
  PrefillRateEstimator speed(kPrior);
  for (int i = 0; i < 30; ++i) speed.Record(9'000, TimeToRead(9'000, 37));
  BOOST_TEST(speed.tokens_per_ms() == 37, boost::test_tools::tolerance(0.06));
}

BOOST_AUTO_TEST_CASE(short_prompts_tell_nothing) {
  PrefillRateEstimator speed(kPrior);
  for (int i = 0; i < 100; ++i) speed.Record(600, 300ms);
  BOOST_TEST(speed.tokens_per_ms() == kPrior, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(engine_that_stood_still_once_does_not_rule) {
  PrefillRateEstimator speed(kPrior);
  for (int i = 0; i < 30; ++i) speed.Record(9'000, TimeToRead(9'000, 40));
  speed.Record(2'000, 60s);
  BOOST_TEST(speed.tokens_per_ms() > 35);
}

RC_BOOST_PROP(nonsense_stays_within_bounds, ()) {
  PrefillRateEstimator speed(kPrior);
  const auto samples = *rc::gen::container<std::vector<std::pair<double, std::int64_t>>>(
      rc::gen::pair(rc::gen::arbitrary<double>(), rc::gen::arbitrary<std::int64_t>()));
  for (const auto& [tokens, waited] : samples) {
    speed.Record(tokens, Duration(waited / 2));
    const double estimate = speed.tokens_per_ms();
    RC_ASSERT(std::isfinite(estimate));
    RC_ASSERT(estimate >= kPrior * PrefillRateEstimator::kMinRateFactor * 0.999);
    RC_ASSERT(estimate <= kPrior * PrefillRateEstimator::kMaxRateFactor * 1.001);
  }
}

BOOST_AUTO_TEST_SUITE_END()
