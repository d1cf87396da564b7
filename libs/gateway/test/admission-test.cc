#include "gateway/admission.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "gateway/deferred_requests.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

/// A long prompt for a service whose shortest objective is 400 ms.
AdmissionQuery LongPrompt() {
  AdmissionQuery query;
  query.own_work = 220ms;
  query.capacity = 400ms;
  query.objective = 600ms;
  return query;
}

const Admission kAdmission{AdmissionOptions{}};

}  // namespace

BOOST_AUTO_TEST_SUITE(admission)

BOOST_AUTO_TEST_CASE(idle_engine_accepts_every_request) {
  AdmissionQuery query = LongPrompt();
  query.own_work = 5s;
  BOOST_TEST(kAdmission.MaySend(query));
  query.age = 1s;
  BOOST_TEST(kAdmission.MaySend(query));
}

BOOST_AUTO_TEST_CASE(engine_load_is_limited_by_the_shortest_objective) {
  AdmissionQuery query = LongPrompt();
  query.queued_work = 130ms;
  BOOST_TEST(kAdmission.MaySend(query));
  query.queued_work = 150ms;
  BOOST_TEST(Admission::MeetsObjective(query));
  BOOST_TEST(!kAdmission.MaySend(query));
}

BOOST_AUTO_TEST_CASE(short_prompt_is_admitted_where_a_long_one_is_not) {
  AdmissionQuery query = LongPrompt();
  query.queued_work = 300ms;
  BOOST_TEST(!kAdmission.MaySend(query));
  query.own_work = 20ms;
  query.objective = 400ms;
  BOOST_TEST(kAdmission.MaySend(query));
}

BOOST_AUTO_TEST_CASE(late_request_is_sent_only_to_a_lightly_loaded_engine) {
  AdmissionQuery query = LongPrompt();
  query.age = 600ms;
  query.queued_work = 101ms;
  BOOST_TEST(!kAdmission.MaySend(query));
  query.queued_work = 99ms;
  BOOST_TEST(kAdmission.MaySend(query));
}

BOOST_AUTO_TEST_CASE(request_is_sent_after_maximum_wait) {
  AdmissionQuery query = LongPrompt();
  query.queued_work = 10s;
  query.age = 1'800ms;
  BOOST_TEST(kAdmission.MaySend(query));
}

BOOST_AUTO_TEST_CASE(admission_is_disabled_by_setting_or_without_objectives) {
  AdmissionQuery query = LongPrompt();
  query.queued_work = 10s;
  AdmissionOptions off;
  off.enabled = false;
  BOOST_TEST(Admission(off).MaySend(query));
  query.objective = 0ms;
  BOOST_TEST(kAdmission.MaySend(query));
}

RC_BOOST_PROP(less_queued_work_never_prevents_admission, ()) {
  AdmissionQuery query;
  query.queued_work = std::chrono::milliseconds(*rc::gen::inRange(0, 2'000));
  query.own_work = std::chrono::milliseconds(*rc::gen::inRange(0, 2'000));
  query.capacity = std::chrono::milliseconds(*rc::gen::inRange(0, 1'000));
  query.objective = std::chrono::milliseconds(*rc::gen::inRange(0, 1'000));
  query.age = std::chrono::milliseconds(*rc::gen::inRange(0, 4'000));
  if (!kAdmission.MaySend(query)) return;
  query.queued_work /= 2;
  RC_ASSERT(kAdmission.MaySend(query));
}

BOOST_AUTO_TEST_CASE(queue_orders_by_lateness_priority_and_arrival) {
  DeferredRequests queue;
  std::vector<std::unique_ptr<DeferredRequests::Ticket>> others;
  DeferredRequests::Ticket first(queue, 1);
  for (std::size_t i = 0; i < DeferredRequests::kMaxPolling; ++i) {
    others.push_back(std::make_unique<DeferredRequests::Ticket>(queue, 1));
  }
  BOOST_TEST(first.MayPoll());
  BOOST_TEST(!others.back()->MayPoll());
  first.MarkLate();
  BOOST_TEST(!first.MayPoll());
  BOOST_TEST(others.back()->MayPoll());
  DeferredRequests::Ticket urgent(queue, 0);
  BOOST_TEST(urgent.MayPoll());
  BOOST_TEST(!others.back()->MayPoll());
  others.clear();
  BOOST_TEST(first.MayPoll());
  BOOST_TEST(queue.size() == 2U);
}

// Requests of a workspace that sends several times its load would otherwise be first by number.
BOOST_AUTO_TEST_CASE(request_over_its_share_waits_behind_all_that_are_not_late) {
  DeferredRequests queue;
  DeferredRequests::Ticket over_share(queue, 0, true);
  std::vector<std::unique_ptr<DeferredRequests::Ticket>> others;
  for (std::size_t i = 0; i < DeferredRequests::kMaxPolling; ++i) {
    others.push_back(std::make_unique<DeferredRequests::Ticket>(queue, 9));
  }
  BOOST_TEST(!over_share.MayPoll());
  others.back()->MarkLate();
  BOOST_TEST(over_share.MayPoll());
}

BOOST_AUTO_TEST_SUITE_END()
