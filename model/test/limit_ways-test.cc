// A server names how many requests a second it takes of all instances together, while
// messages, holders and zones are lost: no window has more than is allowed, and what is
// allowed is used.

#include "model/limit_ways.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace ridgehold::model {
namespace {

BOOST_AUTO_TEST_SUITE(limit_ways)

void CheckNeverMore(std::size_t instances, std::uint32_t seeds) {
  for (const LimitTrouble trouble : AllLimitTroubles()) {
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
      const LimitPlayOutcome outcome = PlayLimit({trouble, instances, 1.2, seed});
      BOOST_TEST_CONTEXT(NameOf(trouble) << ", " << instances << " instances, seed " << seed) {
        BOOST_TEST(outcome.worst_window <= 1);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(eight_instances_never_send_more_than_allowed) { CheckNeverMore(8, 20); }
BOOST_AUTO_TEST_CASE(ninety_instances_never_send_more_than_allowed) { CheckNeverMore(90, 3); }
BOOST_AUTO_TEST_CASE(three_hundred_instances_never_send_more_than_allowed) {
  CheckNeverMore(300, 1);
}

BOOST_AUTO_TEST_CASE(what_the_server_takes_is_used) {
  for (const std::size_t instances : {8, 90, 300}) {
    for (const double limit : {1.2, 12.0}) {
      constexpr std::uint32_t kSeeds = 10;
      double used = 0;
      for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
        used += PlayLimit({LimitTrouble::kCalm, instances, limit, seed}).used / kSeeds;
      }
      // No more is offered than 6 or 0.3 for each instance.
      const double offered = std::max(6.0, 0.3 * static_cast<double>(instances));
      BOOST_TEST_CONTEXT(instances << " instances, limit " << limit) {
        BOOST_TEST(used * limit >= 0.9 * std::min(limit, offered));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(all_instances_hear_of_it_before_it_binds) {
  for (const std::size_t instances : {8, 90, 300}) {
    for (const LimitTrouble trouble : {LimitTrouble::kCalm, LimitTrouble::kLoss}) {
      const LimitPlayOutcome outcome = PlayLimit({trouble, instances, 1.2, 1});
      BOOST_TEST(outcome.all_know_ms < 3'000);
      BOOST_TEST(outcome.untold == 0U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ridgehold::model
