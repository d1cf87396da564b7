#include "gateway/prefill_rate.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

constexpr double kPrior = 56;

Duration PrefillTime(double tokens, double tokens_per_ms) {
  return std::chrono::duration_cast<Duration>(
             std::chrono::duration<double, std::milli>(tokens / tokens_per_ms)) +
         PrefillRateEstimator::kFixedOverhead;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(prefill_rate)

BOOST_AUTO_TEST_CASE(prior_applies_before_the_first_sample) {
  BOOST_TEST(PrefillRateEstimator(kPrior).tokens_per_ms() == kPrior,
             boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(estimate_converges_to_a_slower_rate_within_thirty_prompts) {
  PrefillRateEstimator estimator(kPrior);
  for (int i = 0; i < 30; ++i) estimator.Record(9'000, PrefillTime(9'000, 37));
  BOOST_TEST(estimator.tokens_per_ms() == 37, boost::test_tools::tolerance(0.06));
}

BOOST_AUTO_TEST_CASE(short_prompts_are_ignored) {
  PrefillRateEstimator estimator(kPrior);
  for (int i = 0; i < 100; ++i) estimator.Record(600, 300ms);
  BOOST_TEST(estimator.tokens_per_ms() == kPrior, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(one_stalled_engine_does_not_dominate) {
  PrefillRateEstimator estimator(kPrior);
  for (int i = 0; i < 30; ++i) estimator.Record(9'000, PrefillTime(9'000, 40));
  estimator.Record(2'000, 60s);
  BOOST_TEST(estimator.tokens_per_ms() > 35);
}

RC_BOOST_PROP(arbitrary_samples_stay_within_bounds, ()) {
  PrefillRateEstimator estimator(kPrior);
  const auto samples = *rc::gen::container<std::vector<std::pair<double, std::int64_t>>>(
      rc::gen::pair(rc::gen::arbitrary<double>(), rc::gen::arbitrary<std::int64_t>()));
  for (const auto& [tokens, waited] : samples) {
    estimator.Record(tokens, Duration(waited / 2));
    const double estimate = estimator.tokens_per_ms();
    RC_ASSERT(std::isfinite(estimate));
    RC_ASSERT(estimate >= kPrior * PrefillRateEstimator::kMinRateFactor * 0.999);
    RC_ASSERT(estimate <= kPrior * PrefillRateEstimator::kMaxRateFactor * 1.001);
  }
}

BOOST_AUTO_TEST_SUITE_END()
