#include "control/store_contact.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{1h};

}  // namespace

BOOST_AUTO_TEST_SUITE(store_contact)

BOOST_AUTO_TEST_CASE(missing_registration_is_news_while_the_store_answers) {
  StoreContact contact;
  contact.NoteAnswer(kStart);
  BOOST_TEST((contact.GraceForMissing(kStart) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(short_fault_such_as_a_cut_watch_gives_no_grace) {
  StoreContact contact;
  contact.NoteAnswer(kStart);
  BOOST_TEST(contact.NoteFault(kStart));
  BOOST_TEST(!contact.NoteFault(kStart));
  contact.NoteAnswer(kStart + 1s);
  BOOST_TEST((contact.GraceForMissing(kStart + 1s) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(return_after_an_outage_gives_registrations_time_to_come_back) {
  StoreContact contact;
  contact.NoteAnswer(kStart);
  contact.NoteFault(kStart);
  const TimePoint back = kStart + 5s;
  contact.NoteAnswer(back);
  BOOST_TEST((contact.GraceForMissing(back) == StoreContact::kSettleTime));
  BOOST_TEST((contact.GraceForMissing(back + 1s) == StoreContact::kSettleTime - 1s));
  BOOST_TEST((contact.GraceForMissing(back + 3s) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(outage_is_as_long_as_calls_failed_and_not_as_the_last_answer_is_old) {
  StoreContact contact;
  contact.NoteAnswer(kStart);
  contact.NoteFault(kStart + 60s);
  contact.NoteAnswer(kStart + 61s);
  BOOST_TEST((contact.GraceForMissing(kStart + 61s) == Duration::zero()));
  contact.NoteFault(kStart + 70s);
  contact.NoteUnasked();
  contact.NoteFault(kStart + 80s);
  contact.NoteAnswer(kStart + 81s);
  BOOST_TEST((contact.GraceForMissing(kStart + 81s) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(store_that_was_never_reached_gives_full_grace) {
  StoreContact contact;
  contact.NoteFault(kStart);
  BOOST_TEST((contact.GraceForMissing(kStart) == StoreContact::kSettleTime));
  // Only an outage that has ended is told to others.
  BOOST_TEST((contact.SettlesIn(kStart) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(outage_that_the_sender_of_a_copy_saw_counts_as_an_own_one) {
  StoreContact contact;
  contact.NoteAnswer(kStart);
  contact.NoteSettling(kStart + 2s);
  contact.NoteSettling(kStart);
  BOOST_TEST((contact.GraceForMissing(kStart + 500ms) == 1'500ms));
  BOOST_TEST((contact.SettlesIn(kStart + 500ms) == 1'500ms));
  BOOST_TEST((contact.GraceForMissing(kStart + 2s) == Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()
