#include "control/store_connectivity.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{1h};

}  // namespace

BOOST_AUTO_TEST_SUITE(store_connectivity)

BOOST_AUTO_TEST_CASE(no_grace_while_the_store_answers) {
  StoreConnectivity connectivity;
  connectivity.RecordSuccess(kStart);
  BOOST_TEST((connectivity.GraceForMissing(kStart) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(no_grace_after_a_short_failure_such_as_a_broken_watch) {
  StoreConnectivity connectivity;
  connectivity.RecordSuccess(kStart);
  BOOST_TEST(connectivity.RecordFailure(kStart));
  BOOST_TEST(!connectivity.RecordFailure(kStart));
  connectivity.RecordSuccess(kStart + 1s);
  BOOST_TEST((connectivity.GraceForMissing(kStart + 1s) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(grace_after_an_outage_lets_registrations_come_back) {
  StoreConnectivity connectivity;
  connectivity.RecordSuccess(kStart);
  connectivity.RecordFailure(kStart);
  const TimePoint back = kStart + 5s;
  connectivity.RecordSuccess(back);
  BOOST_TEST((connectivity.GraceForMissing(back) == StoreConnectivity::kGracePeriod));
  BOOST_TEST((connectivity.GraceForMissing(back + 1s) == StoreConnectivity::kGracePeriod - 1s));
  BOOST_TEST((connectivity.GraceForMissing(back + 3s) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(outage_lasts_from_the_first_failed_call_and_not_from_the_last_answer) {
  StoreConnectivity connectivity;
  connectivity.RecordSuccess(kStart);
  connectivity.RecordFailure(kStart + 60s);
  connectivity.RecordSuccess(kStart + 61s);
  BOOST_TEST((connectivity.GraceForMissing(kStart + 61s) == Duration::zero()));
  connectivity.RecordFailure(kStart + 70s);
  connectivity.ResetFailures();
  connectivity.RecordFailure(kStart + 80s);
  connectivity.RecordSuccess(kStart + 81s);
  BOOST_TEST((connectivity.GraceForMissing(kStart + 81s) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(full_grace_while_the_store_was_never_reached) {
  StoreConnectivity connectivity;
  connectivity.RecordFailure(kStart);
  BOOST_TEST((connectivity.GraceForMissing(kStart) == StoreConnectivity::kGracePeriod));
  // Peers are told only of an outage that has ended.
  BOOST_TEST((connectivity.RemainingGrace(kStart) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(outage_observed_by_the_sender_of_a_copy_counts) {
  StoreConnectivity connectivity;
  connectivity.RecordSuccess(kStart);
  connectivity.ExtendGrace(kStart + 2s);
  connectivity.ExtendGrace(kStart);
  BOOST_TEST((connectivity.GraceForMissing(kStart + 500ms) == 1'500ms));
  BOOST_TEST((connectivity.RemainingGrace(kStart + 500ms) == 1'500ms));
  BOOST_TEST((connectivity.GraceForMissing(kStart + 2s) == Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()
