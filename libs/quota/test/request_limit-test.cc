#include "quota/request_limit.h"

#include <boost/test/unit_test.hpp>

#include "quota/quota_subject.h"

using namespace ridgehold;

BOOST_AUTO_TEST_SUITE(request_limit)

BOOST_AUTO_TEST_CASE(grants_in_a_window_are_within_the_tolerance) {
  for (const double used : {0.0, 0.5, 1.0}) {
    for (const double limit : {0.0, 0.3, 1.2, 1.7, 50.0}) {
      LimitTolerance tolerance;
      tolerance.used_fraction = used;
      const QuotaLimits limits = EffectiveLimits(*RequestRate::FromPerSecond(limit), tolerance, 1);
      const double granted =
          static_cast<double>(4 * limits.bursting.tokens_per_s + limits.bursting.burst) /
          static_cast<double>(kQuotaTokensPerRequest);
      BOOST_TEST(granted <= 1.5 * 4 * limit + 5);
      // At least one request now and then, or no instance would learn that the limit was lifted.
      BOOST_TEST(limits.bursting.burst >= kQuotaTokensPerRequest);
      BOOST_TEST(limits.bursting.tokens_per_s > 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(subjects_distinguish_backend_servers_and_workspaces) {
  const QuotaSubject backend = BackendSubject(0x0102030405060708);
  BOOST_TEST((BackendHashOf(backend) == 0x0102030405060708U));
  BOOST_TEST(!BackendHashOf(WorkspaceSubject(WorkspaceId("clinics"))).has_value());
  BOOST_TEST((BackendSubject(1) != BackendSubject(2)));
}

BOOST_AUTO_TEST_SUITE_END()
