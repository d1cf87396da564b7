#include "gateway/retry_allowance.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

using namespace ridgehold;

BOOST_AUTO_TEST_SUITE(retry_allowance)

RC_BOOST_PROP(all_gateways_together_stay_within_the_bound, ()) {
  const RetryBound bound{0.2, 56};
  const auto gateways = *rc::gen::inRange(1, 40);
  const ServiceId service("s");
  std::vector<RetryAllowance> all;
  for (int i = 0; i < gateways; ++i) {
    all.emplace_back(bound);
    all.back().SetGateways(static_cast<std::uint32_t>(gateways));
  }
  double requests = 0;
  double retries = 0;
  const auto steps = *rc::gen::container<std::vector<int>>(500, rc::gen::inRange(0, gateways));
  for (const int at : steps) {
    all[static_cast<std::size_t>(at)].Earn(service);
    ++requests;
    // Everything fails, so every gateway retries as often as it may.
    while (all[static_cast<std::size_t>(at)].Spend(service)) ++retries;
  }
  RC_ASSERT(retries <= bound.ratio * requests + bound.slack);
}

BOOST_AUTO_TEST_CASE(services_do_not_share_an_allowance) {
  RetryAllowance allowance({0.2, 5});
  while (allowance.Spend(ServiceId("a"))) {
  }
  BOOST_TEST(allowance.Spend(ServiceId("b")));
}

BOOST_AUTO_TEST_SUITE_END()
