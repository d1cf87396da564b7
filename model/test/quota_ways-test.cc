// A workspace sends eight times its usual while zones, holders and messages are lost: what is
// allowed in a window holds, and the others do not notice.

#include "model/quota_ways.h"

#include <boost/test/unit_test.hpp>

namespace ridgehold::model {
namespace {

double RefusedPart(const QuotaPlayOutcome& outcome) {
  return static_cast<double>(outcome.within_refused) / static_cast<double>(outcome.within);
}

BOOST_AUTO_TEST_SUITE(quota_ways)

BOOST_AUTO_TEST_CASE(shares_by_zone_never_let_through_more_than_allowed) {
  for (const QuotaTrouble trouble : AllQuotaTroubles()) {
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
      const QuotaPlayOutcome outcome = PlayQuota({QuotaWay::kZones, trouble, 90, seed});
      BOOST_TEST_CONTEXT(NameOf(trouble) << ", seed " << seed) {
        BOOST_TEST(outcome.worst_window <= 1);
      }
    }
  }
}

void CheckRefused(QuotaTrouble trouble, double bound) {
  const QuotaPlayOutcome outcome = PlayQuota({QuotaWay::kZones, trouble, 90, 1});
  BOOST_TEST_CONTEXT(NameOf(trouble)) { BOOST_TEST(RefusedPart(outcome) < bound); }
}

constexpr double kWithoutFault = 0.001;
constexpr double kWithFault = 0.01;

BOOST_AUTO_TEST_CASE(workspaces_within_their_quotas_are_not_refused) {
  for (const QuotaTrouble trouble :
       {QuotaTrouble::kCalm, QuotaTrouble::kHotWorkspace, QuotaTrouble::kLowered}) {
    CheckRefused(trouble, kWithoutFault);
  }
  for (const QuotaTrouble trouble :
       {QuotaTrouble::kZoneCut, QuotaTrouble::kHolderKilled, QuotaTrouble::kStoreAway,
        QuotaTrouble::kLoss, QuotaTrouble::kHolderSuspended}) {
    CheckRefused(trouble, kWithFault);
  }
}

// Nothing is gained by waiting, so none of those beyond the quota is kept for longer than
// callers have patience, and a round of all holders.
BOOST_AUTO_TEST_CASE(workspaces_over_their_quotas_know_at_once) {
  constexpr double kLongestMs = 200 + 4 * 36;
  for (std::uint32_t seed = 1; seed <= 3; ++seed) {
    const QuotaPlayOutcome outcome =
        PlayQuota({QuotaWay::kZones, QuotaTrouble::kHotWorkspace, 90, seed});
    BOOST_TEST_CONTEXT("seed " << seed) { BOOST_TEST(outcome.asking_p99_ms < kLongestMs); }
  }
}

// All four holders are in the half that ends, and nobody counts until they are back.
BOOST_AUTO_TEST_CASE(half_of_the_fleet_loses_power_with_all_holders) {
  CheckRefused(QuotaTrouble::kHalfLosesPower, kWithFault);
}

BOOST_AUTO_TEST_CASE(messages_do_not_grow_with_the_fleet) {
  const auto each = [](std::size_t instances) {
    const QuotaPlayOutcome outcome =
        PlayQuota({QuotaWay::kZones, QuotaTrouble::kCalm, instances, 1});
    return static_cast<double>(outcome.messages) / static_cast<double>(outcome.requests);
  };
  BOOST_TEST(each(380) <= 1.1 * each(20));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ridgehold::model
