#include "groups/group_demand.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>

#include "groups/sampled_demand.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{1h};

/// The demand after 30 s of ten interactive requests per second that run 500 ms each, and twenty
/// bulk requests per second.
DemandSample SteadyDemand(GroupDemand& demand) {
  for (int i = 0; i < 300; ++i) {
    const TimePoint now = kStart + i * 100ms;
    if (i >= 5) demand.OnEnd(RequestGroup::kInteractive, now);
    demand.OnStart(RequestGroup::kInteractive, 600, now);
    demand.OnStart(RequestGroup::kBulk, 3'000, now);
    demand.OnStart(RequestGroup::kBulk, 3'000, now);
  }
  return demand.Sample(kStart + 30s);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(group_demand)

BOOST_AUTO_TEST_CASE(demand_is_measured_by_group_and_decays) {
  GroupDemand demand;
  const DemandSample steady = SteadyDemand(demand);
  BOOST_TEST(steady.interactive_running == 5, boost::test_tools::tolerance(0.05));
  BOOST_TEST(steady.interactive_rate == 6'000, boost::test_tools::tolerance(0.05));
  BOOST_TEST(steady.bulk_rate == 60'000, boost::test_tools::tolerance(0.05));
  const DemandSample later = demand.Sample(kStart + 34s);
  // Half of it after one half-life, and both are averages since the first request.
  const double since_start = (1 - std::exp2(-30.0 / 4)) / (1 - std::exp2(-34.0 / 4));
  BOOST_TEST(later.bulk_rate == steady.bulk_rate / 2 * since_start,
             boost::test_tools::tolerance(0.001));
}

// A fleet that starts must not begin with a group for a fraction of its demand.
BOOST_AUTO_TEST_CASE(averages_do_not_include_the_time_before_the_first_request) {
  GroupDemand demand;
  for (int i = 0; i < 20; ++i) {
    demand.OnStart(RequestGroup::kInteractive, 0, kStart + i * 100ms);
    demand.OnStart(RequestGroup::kBulk, 3'000, kStart + i * 100ms);
  }
  BOOST_TEST(demand.Sample(kStart + 2s).bulk_rate == 30'000, boost::test_tools::tolerance(0.1));
}

// A gateway whose own callers are idle must still size the group for those of the others.
BOOST_AUTO_TEST_CASE(fleet_total_adds_the_other_gateways_by_their_average) {
  SampledDemand sampled;
  sampled.Record({4, 100, 1'000}, kStart);
  sampled.Record({6, 300, 3'000}, kStart);
  const DemandSample total = sampled.FleetTotal({1, 10, 0}, 85, kStart + 1s);
  BOOST_TEST(total.interactive_running == 1 + 84 * 5, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(total.interactive_rate == 10 + 84 * 200, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(total.bulk_rate == 84 * 2'000, boost::test_tools::tolerance(1e-9));
}

// The failure: no tracker answers any more.
BOOST_AUTO_TEST_CASE(own_demand_stands_for_all_gateways_if_samples_are_missing) {
  SampledDemand sampled;
  BOOST_TEST(sampled.FleetTotal({1, 10, 20}, 85, kStart).bulk_rate == 85 * 20);
  sampled.Record({100, 100, 100}, kStart);
  BOOST_TEST(sampled.FleetTotal({1, 10, 20}, 85, kStart + 9s).bulk_rate == 85 * 20);
}

BOOST_AUTO_TEST_CASE(impossible_samples_are_recognized) {
  BOOST_TEST(IsPlausible({0, 0, 1e6}));
  BOOST_TEST(!IsPlausible({-1, 0, 0}));
  BOOST_TEST(!IsPlausible({0, std::numeric_limits<double>::quiet_NaN(), 0}));
  BOOST_TEST(!IsPlausible({0, 0, std::numeric_limits<double>::infinity()}));
}

BOOST_AUTO_TEST_SUITE_END()
