#include "control/store_connectivity.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{1h};

}  // namespace

BOOST_AUTO_TEST_SUITE(store_contact)

BOOST_AUTO_TEST_CASE(missing_registration_is_news_while_the_store_answers) {
  StoreConnectivity connectivity;
  connectivity.RecordSuccess(kStart);
  BOOST_TEST((connectivity.GraceForMissing(kStart) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(short_fault_such_as_a_cut_watch_gives_no_grace) {
  StoreConnectivity connectivity;
  connectivity.RecordSuccess(kStart);
  BOOST_TEST(connectivity.RecordFailure(kStart));
  BOOST_TEST(!connectivity.RecordFailure(kStart));
  connectivity.RecordSuccess(kStart + 1s);
  BOOST_TEST((connectivity.GraceForMissing(kStart + 1s) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(return_after_an_outage_gives_registrations_time_to_come_back) {
  StoreConnectivity connectivity;
  connectivity.RecordSuccess(kStart);
  connectivity.RecordFailure(kStart);
  const TimePoint back = kStart + 5s;
  connectivity.RecordSuccess(back);
  BOOST_TEST((connectivity.GraceForMissing(back) == StoreConnectivity::kReregistrationTime));
  BOOST_TEST(
      (connectivity.GraceForMissing(back + 1s) == StoreConnectivity::kReregistrationTime - 1s));
  BOOST_TEST((connectivity.GraceForMissing(back + 3s) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(outage_is_as_long_as_calls_failed_and_not_as_the_last_answer_is_old) {
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

BOOST_AUTO_TEST_CASE(store_that_was_never_reached_gives_full_grace) {
  StoreConnectivity connectivity;
  connectivity.RecordFailure(kStart);
  BOOST_TEST((connectivity.GraceForMissing(kStart) == StoreConnectivity::kReregistrationTime));
  // Only an outage that has ended is told to others.
  BOOST_TEST((connectivity.RemainingGrace(kStart) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(outage_that_the_sender_of_a_copy_saw_counts_as_an_own_one) {
  StoreConnectivity connectivity;
  connectivity.RecordSuccess(kStart);
  connectivity.ExtendGrace(kStart + 2s);
  connectivity.ExtendGrace(kStart);
  BOOST_TEST((connectivity.GraceForMissing(kStart + 500ms) == 1'500ms));
  BOOST_TEST((connectivity.RemainingGrace(kStart + 500ms) == 1'500ms));
  BOOST_TEST((connectivity.GraceForMissing(kStart + 2s) == Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()
