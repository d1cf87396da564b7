#include "quota/request_limit.h"

#include <boost/test/unit_test.hpp>

#include "quota/quota_subject.h"

using namespace ridgehold;

BOOST_AUTO_TEST_SUITE(request_limit)

BOOST_AUTO_TEST_CASE(what_is_granted_in_a_window_is_within_the_tolerance) {
  for (const double used : {0.0, 0.5, 1.0}) {
    for (const double limit : {0.0, 0.3, 1.2, 1.7, 50.0}) {
      LimitTolerance tolerance;
      tolerance.used_part = used;
      const QuotaTerms terms = TermsOf(*RequestRate::Of(limit), tolerance, 1);
      const double granted =
          static_cast<double>(4 * terms.bursting.tokens_per_s + terms.bursting.burst) /
          static_cast<double>(kTokensOfRequest);
      BOOST_TEST(granted <= 1.5 * 4 * limit + 5);
      // At least one request, now and then, or nobody would hear that the limit has ended.
      BOOST_TEST(terms.bursting.burst >= kTokensOfRequest);
      BOOST_TEST(terms.bursting.tokens_per_s > 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(subjects_tell_backend_servers_from_workspaces) {
  const QuotaSubject backend = SubjectOfBackend(0x0102030405060708);
  BOOST_TEST((BackendIn(backend) == 0x0102030405060708U));
  BOOST_TEST(!BackendIn(SubjectOf(WorkspaceId("clinics"))).has_value());
  BOOST_TEST((SubjectOfBackend(1) != SubjectOfBackend(2)));
}

BOOST_AUTO_TEST_SUITE_END()
