#include "priority/workspace_shares.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

constexpr WorkspaceHash kLargest = 1;
constexpr int kWorkspaces = 16;

/// A gateway that hears samples of 16 workspaces for some seconds while one sends `excess` times as
/// much as each of the others.
struct Fixture {
  WorkspaceShares shares;
  TimePoint now = TimePoint(100s);

  void Run(double excess, double in_time) {
    const double total = excess + kWorkspaces - 1;
    for (int tick = 0; tick < 100; ++tick) {
      now += 100ms;
      shares.RecordArrival(kLargest, 1'000, now);
      shares.RecordInTime(1'000 * in_time, now);
      for (WorkspaceHash workspace = 1; workspace <= kWorkspaces; ++workspace) {
        const double tokens = workspace == kLargest ? excess : 1;
        shares.RecordSample(workspace, 1, {1'000 * tokens, 1'000 * total}, now);
      }
    }
  }

  int OthersOverShare() const {
    int count = 0;
    for (WorkspaceHash workspace = 2; workspace <= kWorkspaces; ++workspace) {
      if (shares.IsOverShare(workspace, now)) ++count;
    }
    return count;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(workspace_shares, Fixture)

// The pattern: one workspace sends 7.5 times its load and the fleet admits 70 % in time. Without
// shares, the other workspaces lose as much as the one that causes the overload.
BOOST_AUTO_TEST_CASE(only_the_workspace_that_overloads_the_fleet_is_over_its_share) {
  Run(7.5, 0.7);
  BOOST_TEST(shares.IsOverShare(kLargest, now));
  BOOST_TEST(OthersOverShare() == 0);
  BOOST_TEST(*shares.ShareOf(kLargest, now) == 7.5 / 22.5, boost::test_tools::tolerance(1e-6));
}

// With all requests late, no capacity would be left and every workspace would be over its share,
// which orders nothing.
BOOST_AUTO_TEST_CASE(shares_are_told_apart_when_all_requests_are_late) {
  Run(16, 0);
  BOOST_TEST(shares.IsOverShare(kLargest, now));
  BOOST_TEST(OthersOverShare() == 0);
}

BOOST_AUTO_TEST_CASE(nothing_is_over_its_share_while_capacity_suffices) {
  Run(7.5, 1);
  BOOST_TEST(!shares.IsOverShare(kLargest, now));
}

// The failure: answers are lost. A share that is no longer confirmed must not hold requests back.
BOOST_AUTO_TEST_CASE(without_samples_no_workspace_is_over_its_share) {
  BOOST_TEST(!shares.IsOverShare(kLargest, now));
  Run(7.5, 0.7);
  now += 21s;
  BOOST_TEST(!shares.IsOverShare(kLargest, now));
  BOOST_TEST(!shares.ShareOf(kLargest, now));
}

BOOST_AUTO_TEST_CASE(impossible_samples_are_ignored) {
  constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
  for (const WorkspaceSample sample :
       {WorkspaceSample{kNan, 1}, {1, kNan}, {-1, 1}, {2, 1}, {0, 0}}) {
    shares.RecordSample(kLargest, 1, sample, now);
  }
  BOOST_TEST(!shares.ShareOf(kLargest, now));
}

BOOST_AUTO_TEST_CASE(full_table_evicts_the_smallest_workspace) {
  constexpr WorkspaceHash kMost = WorkspaceShares::kMaxWorkspaces + 100;
  for (WorkspaceHash workspace = 1; workspace <= kMost; ++workspace) {
    const auto tokens = static_cast<double>(workspace);
    shares.RecordSample(workspace, 1, {tokens, 1e6}, now);
    shares.RecordArrival(workspace, tokens, now);
  }
  BOOST_TEST(shares.size() == WorkspaceShares::kMaxWorkspaces);
  BOOST_TEST(!shares.ShareOf(1, now));
  BOOST_TEST(shares.ShareOf(kMost, now).has_value());
  BOOST_TEST(shares.OwnSample(1, now).tokens == 0);
}

RC_BOOST_PROP(fair_shares_use_the_whole_capacity, ()) {
  std::vector<ShareDemand> demands;
  double all = 0;
  const auto shares_of = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 1'000), rc::gen::inRange(1, 10))));
  for (const auto& [share, weight] : shares_of) {
    demands.push_back({static_cast<double>(share), static_cast<double>(weight)});
    all += share;
  }
  const double capacity = all * *rc::gen::inRange(1, 100) / 100;
  const double level = FairLevel(demands, capacity).value();
  double used = 0;
  for (const ShareDemand& demand : demands) used += std::min(demand.share, level * demand.weight);
  RC_ASSERT(std::abs(used - capacity) <= 1e-6 * (1 + all));
}

BOOST_AUTO_TEST_SUITE_END()
