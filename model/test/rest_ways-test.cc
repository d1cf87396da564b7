// A third of the servers ask whoever sends there for three seconds of rest. Where each instance
// tried each of them by itself, large fleets refused requests for want of retries.

#include "model/rest_ways.h"

#include <boost/test/unit_test.hpp>

namespace ridgehold::model {
namespace {

RestPlayOutcome PlaySeeds(RestWay way, RestTrouble trouble, std::size_t instances) {
  constexpr std::uint32_t kSeeds = 5;
  RestPlayOutcome sum;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    const RestPlayOutcome one = PlayRest({way, trouble, instances, seed});
    sum.requests += one.requests;
    sum.refused += one.refused;
    sum.begun_mean_ms += one.begun_mean_ms / kSeeds;
  }
  return sum;
}

BOOST_AUTO_TEST_SUITE(rest_ways)

BOOST_AUTO_TEST_CASE(servers_that_turn_all_away_cost_few_refusals_at_any_size) {
  for (const std::size_t instances : {8, 90, 300}) {
    const RestPlayOutcome outcome = PlaySeeds(RestWay::kToldTwice, RestTrouble::kAll, instances);
    BOOST_TEST_CONTEXT(instances << " instances") {
      BOOST_TEST(outcome.refused < outcome.requests / 100);
    }
  }
}

BOOST_AUTO_TEST_CASE(server_that_turns_one_instance_away_serves_the_others) {
  for (const std::size_t instances : {8, 90}) {
    const auto mean_ms = [&](RestWay way) {
      return PlaySeeds(way, RestTrouble::kOne, instances).begun_mean_ms;
    };
    BOOST_TEST_CONTEXT(instances << " instances") {
      BOOST_TEST(mean_ms(RestWay::kToldTwice) < 1.25 * mean_ms(RestWay::kNotTold));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ridgehold::model
