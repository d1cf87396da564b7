#include "retry/sliding_retry_budget.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const RetryBudgetLimits kLimits{0.2, 56, 10s};
const ServiceId kService("s");
const TimePoint kStart{1h};

/// Requests and retries of all gateways per step of 100 ms.
struct Totals {
  std::vector<double> requests;
  std::vector<double> retries;

  double Sum(const std::vector<double>& counts, int from, int length) const {
    double sum = 0;
    for (int i = std::max(from, 0); i < from + length; ++i) {
      if (i < static_cast<int>(counts.size())) sum += counts[static_cast<std::size_t>(i)];
    }
    return sum;
  }

  /// Whether every window of 10 s stays within the limit, based on the requests of that window, the
  /// previous one, or the one starting half a window earlier, whichever has most.
  bool WithinLimit() const {
    constexpr int kWindow = 100;
    for (int from = 0; from < static_cast<int>(retries.size()); ++from) {
      const double most =
          std::max({Sum(requests, from, kWindow), Sum(requests, from - kWindow, kWindow),
                    Sum(requests, from - kWindow / 2, kWindow)});
      if (Sum(retries, from, kWindow) > kLimits.ratio * most + kLimits.slack) return false;
    }
    return true;
  }
};

/// One instance of a fleet whose processes are replaced. Its successor learns of a record only.
struct FleetMember {
  SlidingRetryBudget budget{kLimits};
  TimePoint started = kStart - 1min;
  TimePoint recorded_until{};     ///< by this process
  TimePoint predecessor_until{};  ///< by an earlier one
  bool reaches_store = true;

  RetryStanding Standing(TimePoint now) const {
    RetryStandingInput input;
    input.process_started = started;
    input.member_since = started;
    input.recorded = recorded_until > now;
    input.predecessor_recorded = predecessor_until > now;
    input.counted_span = budget.CountedSpan();
    return RetryStandingOf(input, now);
  }

  bool TryRetry(TimePoint now) {
    if (reaches_store && !Standing(now).predecessor_counts) {
      recorded_until = now + budget.CountedSpan();
    }
    return budget.TryConsume(kService, now, Standing(now));
  }

  void Replace(TimePoint now, std::uint32_t members) {
    predecessor_until = std::max(predecessor_until, recorded_until);
    recorded_until = {};
    budget = SlidingRetryBudget(kLimits);
    budget.SetGateways(members, now);
    started = now;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(retry_allowance)

RC_BOOST_PROP(all_gateways_together_stay_within_the_limit_in_every_window, ()) {
  const auto gateways = *rc::gen::inRange(1, 12);
  std::vector<SlidingRetryBudget> all;
  for (int i = 0; i < gateways; ++i) {
    all.emplace_back(kLimits);
    all.back().SetGateways(static_cast<std::uint32_t>(gateways), kStart);
  }
  // Requests per step for each period of 4 s. All attempts fail, so every gateway retries as often
  // as allowed.
  const auto rates = *rc::gen::container<std::vector<int>>(10, rc::gen::inRange(0, 12));
  Totals totals;
  int step = 0;
  for (const int rate : rates) {
    for (int i = 0; i < 40; ++i, ++step) {
      const TimePoint now = kStart + step * 100ms;
      double retries = 0;
      for (int request = 0; request < rate; ++request) {
        all[static_cast<std::size_t>(request % gateways)].RecordRequest(kService, now);
      }
      for (SlidingRetryBudget& budget : all) {
        while (budget.TryConsume(kService, now)) ++retries;
      }
      totals.requests.push_back(rate);
      totals.retries.push_back(retries);
    }
  }
  RC_ASSERT(totals.WithinLimit());
}

// Guards against aborted streams when an engine crashes although the last seconds' requests earned
// enough retries.
BOOST_AUTO_TEST_CASE(burst_may_use_budget_earned_in_the_last_window) {
  SlidingRetryBudget budget({0.2, 56, 10s});
  budget.SetGateways(8, kStart);
  for (int i = 0; i < 100; ++i) budget.RecordRequest(kService, kStart + i * 90ms);
  int allowed = 0;
  while (budget.TryConsume(kService, kStart + 9s)) ++allowed;
  BOOST_TEST(allowed == 21);
}

BOOST_AUTO_TEST_CASE(retries_before_the_window_do_not_count) {
  SlidingRetryBudget budget({0.2, 10, 10s});
  while (budget.TryConsume(kService, kStart)) {
  }
  BOOST_TEST(!budget.TryConsume(kService, kStart + 9s));
  BOOST_TEST(budget.TryConsume(kService, kStart + 11s));
}

BOOST_AUTO_TEST_CASE(limit_holds_in_windows_that_start_at_any_time) {
  SlidingRetryBudget budget({0.2, 10, 10s});
  while (budget.TryConsume(kService, kStart + 490ms)) {
  }
  BOOST_TEST(!budget.TryConsume(kService, kStart + 10s));
  // Retries granted at 490 ms may have arrived 700 ms later.
  BOOST_TEST(!budget.TryConsume(kService, kStart + 490ms + 10'700ms));
  BOOST_TEST(budget.TryConsume(kService, kStart + 490ms + 10'701ms));
}

RC_BOOST_PROP(arrivals_stay_within_the_limit_in_every_window_despite_connect_delay, ()) {
  SlidingRetryBudget budget({0.2, 5, 10s});
  std::vector<TimePoint> arrivals;
  TimePoint now = kStart;
  for (const int gap : *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 3'000))) {
    now += std::chrono::milliseconds(gap);
    const std::chrono::milliseconds connect_delay(*rc::gen::inRange(0, 701));
    if (budget.TryConsume(kService, now)) arrivals.push_back(now + connect_delay);
  }
  for (const TimePoint from : arrivals) {
    const auto in_window = std::ranges::count_if(
        arrivals, [&](TimePoint at) { return at >= from && at <= from + 10s; });
    RC_ASSERT(in_window <= 5);
  }
}

BOOST_AUTO_TEST_CASE(requests_earn_budget_for_one_window) {
  SlidingRetryBudget budget({0.2, 10, 10s});
  for (int i = 0; i < 100; ++i) budget.RecordRequest(kService, kStart);
  int allowed = 0;
  while (budget.TryConsume(kService, kStart + 10'001ms)) ++allowed;
  BOOST_TEST(allowed == 8);
}

BOOST_AUTO_TEST_CASE(slack_is_divided_by_the_maximum_gateway_count_of_the_last_window) {
  SlidingRetryBudget budget({0.2, 80, 10s});
  const auto allowed = [&](TimePoint now) {
    SlidingRetryBudget copy = budget;
    int count = 0;
    while (copy.TryConsume(kService, now)) ++count;
    return count;
  };
  budget.SetGateways(8, kStart);
  BOOST_TEST(allowed(kStart) == 8);
  // All leases expire in a store outage, but the gateways keep running.
  budget.SetGateways(1, kStart + 1min);
  BOOST_TEST(allowed(kStart + 1min) == 8);
  budget.SetGateways(4, kStart + 1min + 4s);
  budget.SetGateways(2, kStart + 1min + 6s);
  BOOST_TEST(allowed(kStart + 1min + 10'700ms) == 8);
  BOOST_TEST(allowed(kStart + 1min + 10'701ms) == 16);
  BOOST_TEST(allowed(kStart + 1min + 6s + 10'700ms) == 16);
  BOOST_TEST(allowed(kStart + 1min + 6s + 10'701ms) == 32);
  // An increase takes effect immediately.
  budget.SetGateways(16, kStart + 1min + 7s);
  BOOST_TEST(allowed(kStart + 1min + 7s) == 4);
}

BOOST_AUTO_TEST_CASE(services_do_not_share_a_budget) {
  SlidingRetryBudget budget({0.2, 5, 10s});
  while (budget.TryConsume(ServiceId("a"), kStart)) {
  }
  BOOST_TEST(budget.TryConsume(ServiceId("b"), kStart));
}

// Guards against retries beyond the limit after restarts: the counts of a process end with it.
RC_BOOST_PROP(gateways_that_are_replaced_stay_within_the_limit_in_every_window, ()) {
  const auto members = *rc::gen::inRange(1, 9);
  std::vector<FleetMember> fleet(static_cast<std::size_t>(members));
  for (FleetMember& member : fleet) {
    member.budget.SetGateways(static_cast<std::uint32_t>(members), kStart);
  }
  const auto rates = *rc::gen::container<std::vector<int>>(10, rc::gen::inRange(0, 12));
  const auto replaced_at = *rc::gen::container<std::vector<int>>(10, rc::gen::inRange(0, 40));
  const auto replaced_share = *rc::gen::inRange(0, 101);
  const auto store_share = *rc::gen::inRange(0, 101);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    fleet[i].reaches_store = static_cast<int>(i * 100 / fleet.size()) < store_share;
  }
  Totals totals;
  int step = 0;
  for (std::size_t period = 0; period < rates.size(); ++period) {
    for (int i = 0; i < 40; ++i, ++step) {
      const TimePoint now = kStart + step * 100ms;
      if (i == replaced_at[period]) {
        for (std::size_t k = 0; k * 100 < fleet.size() * static_cast<std::size_t>(replaced_share);
             ++k) {
          fleet[k].Replace(now, static_cast<std::uint32_t>(members));
        }
      }
      double retries = 0;
      for (int request = 0; request < rates[period]; ++request) {
        fleet[static_cast<std::size_t>(request % members)].budget.RecordRequest(kService, now);
      }
      for (FleetMember& member : fleet) {
        while (member.TryRetry(now)) ++retries;
      }
      totals.requests.push_back(rates[period]);
      totals.retries.push_back(retries);
    }
  }
  RC_ASSERT(totals.WithinLimit());
}

// Guards against a budget that is of no use without the store: requests of the window earn retries.
BOOST_AUTO_TEST_CASE(retries_without_a_record_are_earned_by_requests) {
  SlidingRetryBudget budget({0.2, 80, 10s});
  budget.SetGateways(8, kStart);
  RetryStanding unrecorded;
  unrecorded.recorded = false;
  BOOST_TEST(!budget.TryConsume(kService, kStart, unrecorded));
  int allowed = 0;
  for (int i = 0; i < 100; ++i) {
    budget.RecordRequest(kService, kStart + i * 10ms);
    if (budget.TryConsume(kService, kStart + i * 10ms, unrecorded)) ++allowed;
  }
  BOOST_TEST(allowed == 16);
}

BOOST_AUTO_TEST_CASE(retries_without_a_record_accumulate_up_to_the_share) {
  SlidingRetryBudget budget({0.2, 80, 10s});
  budget.SetGateways(8, kStart);
  RetryStanding unrecorded;
  unrecorded.recorded = false;
  for (int i = 0; i < 100; ++i) budget.RecordRequest(kService, kStart);
  BOOST_TEST(budget.Available(kService, kStart, unrecorded) == 8,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(budget.Available(kService, kStart, {}) == 24, boost::test_tools::tolerance(1e-9));
  unrecorded.has_share = false;
  BOOST_TEST(budget.Available(kService, kStart, unrecorded) == 1);
}

// Guards against retries that are counted long before they arrive, after a wait for capacity.
BOOST_AUTO_TEST_CASE(reserved_retry_counts_from_its_send) {
  SlidingRetryBudget budget({0, 5, 10s});
  std::optional<RetryReservation> early = budget.TryReserve(kService, kStart, {});
  BOOST_REQUIRE(early.has_value());
  for (int i = 0; i < 3; ++i) BOOST_TEST(budget.TryConsume(kService, kStart));
  BOOST_TEST(!budget.TryConsume(kService, kStart));
  BOOST_TEST(early->Consume(kStart + 9s, {}));
  // The window of the other three has passed, that of the reserved one has not.
  for (int i = 0; i < 3; ++i) BOOST_TEST(budget.TryConsume(kService, kStart + 11s));
  BOOST_TEST(!budget.TryConsume(kService, kStart + 11s));
}

BOOST_AUTO_TEST_CASE(reservation_that_is_given_up_leaves_its_retry_to_others) {
  SlidingRetryBudget budget({0, 1, 10s});
  budget.TryReserve(kService, kStart, {}).reset();
  BOOST_TEST(budget.TryConsume(kService, kStart));
}

// Guards against an instance that sends retries reserved before it was suspended, when its share
// has passed to others.
BOOST_AUTO_TEST_CASE(reservation_cannot_be_consumed_once_the_share_is_lost) {
  SlidingRetryBudget budget({0, 5, 10s});
  std::optional<RetryReservation> reserved = budget.TryReserve(kService, kStart, {});
  BOOST_REQUIRE(reserved.has_value());
  RetryStanding lapsed;
  lapsed.has_share = false;
  lapsed.recorded = false;
  BOOST_TEST(!reserved->Consume(kStart + 30s, lapsed));
}

BOOST_AUTO_TEST_SUITE_END()
