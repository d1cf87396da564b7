#include "priority/load_limits.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

/// A long prompt beside streams whose objective is 250 ms.
PatientLoad LongPrompt(Duration queued_work, GroupMembership membership) {
  return {queued_work, 162ms, 250ms, 1'000ms, membership, false};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(load_limits)

// The pattern: many gateways with more long prompts than the engine can prefill. Without the limit
// its queue grows to 0.9 of the objective of the urgent streams, which then all wait.
BOOST_AUTO_TEST_CASE(patient_prompts_leave_half_of_the_shortest_objective) {
  constexpr Duration kStep = 5ms;
  for (const auto membership : {GroupMembership::kNoGroup, GroupMembership::kMember}) {
    Duration queued{0};
    int sent = 0;
    for (int step = 0; step < 1'000; ++step) {
      const PatientLoad load = LongPrompt(queued, membership);
      if (LoadLimits::MaySendPatient(load)) {
        BOOST_TEST(queued.count() <= Duration(125ms).count());
        queued += load.own_work;
        ++sent;
      }
      queued = std::max(Duration::zero(), queued - kStep);
    }
    // Prompts are held back, but the engine never idles.
    BOOST_TEST(sent >= 5'000 / 162);
  }
}

BOOST_AUTO_TEST_CASE(engine_outside_the_group_takes_more) {
  BOOST_TEST(LoadLimits::MaySendPatient(LongPrompt(330ms, GroupMembership::kNotMember)));
  BOOST_TEST(!LoadLimits::MaySendPatient(LongPrompt(340ms, GroupMembership::kNotMember)));
}

BOOST_AUTO_TEST_CASE(limits_are_halved_for_a_workspace_over_its_share) {
  for (const auto membership : {GroupMembership::kNoGroup, GroupMembership::kNotMember}) {
    PatientLoad load = LongPrompt(80ms, membership);
    BOOST_TEST(LoadLimits::MaySendPatient(load));
    load.over_share = true;
    load.queued_work = membership == GroupMembership::kNoGroup ? 63ms : 89ms;
    BOOST_TEST(!LoadLimits::MaySendPatient(load));
  }
}

// A prompt that exceeds the limit by itself would otherwise wait until its maximum wait, whatever
// the load is.
BOOST_AUTO_TEST_CASE(idle_engine_accepts_every_prompt) {
  PatientLoad load = LongPrompt(0ms, GroupMembership::kNotMember);
  load.own_work = 5s;
  load.over_share = true;
  BOOST_TEST(LoadLimits::MaySendPatient(load));
}

BOOST_AUTO_TEST_SUITE_END()
