#include "admission/admission.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "admission/retry_budget.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {
const TimePoint kStart{std::chrono::hours(1)};
}  // namespace

BOOST_AUTO_TEST_SUITE(admission)

RC_BOOST_PROP(bounds_hold_and_counts_balance, ()) {
  const auto most = static_cast<std::uint32_t>(*rc::gen::inRange(1, 30));
  Admission admission(most);
  std::map<std::string, std::uint32_t> in_flight;
  std::uint32_t total = 0;
  const auto steps = *rc::gen::inRange(0, 200);
  for (int i = 0; i < steps; ++i) {
    const std::string name = *rc::gen::element<std::string>("a", "b", "c");
    const WorkspaceLimits limits{static_cast<std::uint32_t>(*rc::gen::inRange(1, 4)), 10};
    if (*rc::gen::arbitrary<bool>() || in_flight[name] == 0) {
      const auto refusal = admission.Enter(WorkspaceId(name), limits, kStart);
      if (refusal) {
        RC_ASSERT(refusal->retry_after >= 1s);
        RC_ASSERT(Describe(refusal->code).execution == Execution::kNotRun);
      } else {
        ++in_flight[name];
        ++total;
      }
    } else {
      admission.Leave(WorkspaceId(name), 1s);
      --in_flight[name];
      --total;
    }
    RC_ASSERT(admission.in_flight() == total);
    RC_ASSERT(total <= most);
    RC_ASSERT(in_flight[name] <= limits.max_streams);
  }
}

BOOST_AUTO_TEST_CASE(a_hot_workspace_leaves_the_others_their_share) {
  Admission admission(100);
  const WorkspaceLimits limits{1, 1'000};
  // The quiet workspace has been there lately, with one request.
  BOOST_TEST(!admission.Enter(WorkspaceId("quiet"), limits, kStart).has_value());
  std::uint32_t hot = 0;
  while (!admission.Enter(WorkspaceId("hot"), limits, kStart)) ++hot;
  BOOST_TEST(hot == 74U);  // up to three quarters full
  std::uint32_t quiet = 1;
  while (!admission.Enter(WorkspaceId("quiet"), limits, kStart)) ++quiet;
  BOOST_TEST(quiet == 26U);
}

BOOST_AUTO_TEST_CASE(a_lone_workspace_may_use_everything) {
  Admission admission(100);
  std::uint32_t taken = 0;
  while (!admission.Enter(WorkspaceId("a"), {1, 1'000}, kStart)) ++taken;
  BOOST_TEST(taken == 100U);
}

RC_BOOST_PROP(retries_never_exceed_their_part_of_the_requests, ()) {
  const auto percent = static_cast<std::uint32_t>(*rc::gen::inRange(0, 50));
  RetryBudget budget(percent);
  const auto requests = *rc::gen::inRange(0, 500);
  int retries = 0;
  for (int i = 0; i < requests; ++i) {
    budget.Earn();
    const auto wanted = *rc::gen::inRange(0, 4);
    for (int k = 0; k < wanted; ++k) retries += budget.Spend() ? 1 : 0;
  }
  RC_ASSERT(retries <= requests * static_cast<int>(percent) / 100 + RetryBudget::kBurst + 1e-6);
}

BOOST_AUTO_TEST_SUITE_END()
