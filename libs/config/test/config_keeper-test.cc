#include "config/config_keeper.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "kv_table.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

enum class Fault { kNone, kRefused, kLostBefore, kLostAfter };

/// A store whose next calls fail as told.
class FaultyStore {
 public:
  standin::KvTable table;
  std::vector<Fault> faults;  // taken from the back
  std::size_t commits = 0;

  Result<std::optional<KvPair>> Get(const std::string& key) {
    BOOST_LEAF_CHECK(Read());
    return table.Get(key, {});
  }
  Result<std::vector<KvPair>> List(const std::string& first, const std::string& end) {
    BOOST_LEAF_CHECK(Read());
    return table.List(first, end, {});
  }
  Result<KvTransactionAnswer> Commit(const KvTransaction& transaction) {
    ++commits;
    const Fault fault = Next();
    if (fault == Fault::kRefused) return Fail(ResultCode::kPlatformUnavailable, "refused");
    if (fault == Fault::kLostBefore) return Fail(ResultCode::kPlatformAnswerLost, "lost");
    const auto answer = table.Commit(transaction, {});
    if (fault == Fault::kLostAfter) return Fail(ResultCode::kPlatformAnswerLost, "lost");
    return answer;
  }
  Result<LeaseId> GrantLease(std::chrono::seconds ttl) { return table.Grant(ttl, {}); }
  Result<bool> KeepAlive(LeaseId lease) { return table.KeepAlive(lease, {}); }

 private:
  Fault Next() {
    if (faults.empty()) return Fault::kNone;
    const Fault fault = faults.back();
    faults.pop_back();
    return fault;
  }
  Result<void> Read() {
    if (Next() != Fault::kNone) return Fail(ResultCode::kPlatformUnavailable, "away");
    return {};
  }
};

using Keeper = ConfigKeeper<FaultyStore>;

constexpr Keeper::Options kImpatient{
    .submit_deadline = 0ms, .retry_pause = 0ms, .snapshot_every = 4};

ResultCode CodeOf(Keeper& keeper, const std::string& script,
                  std::optional<Revision> expected = std::nullopt) {
  const auto failure = FailureOf([&] { return keeper.Submit(script, expected, "test"); });
  return failure ? failure->code : ResultCode::kOk;
}

struct Submission {
  std::size_t keeper;
  std::string workspace;
  ResultCode code;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(config_keeper)

RC_BOOST_PROP(accepted_changes_last_and_refused_ones_never_appear, ()) {
  FaultyStore store;
  std::vector<std::unique_ptr<Keeper>> keepers;
  for (int i = 0; i < 3; ++i) {
    keepers.push_back(std::make_unique<Keeper>(store, kImpatient, nullptr));
  }
  std::vector<Submission> submissions;
  std::vector<Revision> last(keepers.size());
  const int steps = *rc::gen::inRange(1, 25);
  for (int step = 0; step < steps; ++step) {
    store.faults = *rc::gen::container<std::vector<Fault>>(
        3, rc::gen::weightedElement<Fault>({{4, Fault::kNone},
                                            {1, Fault::kRefused},
                                            {1, Fault::kLostBefore},
                                            {2, Fault::kLostAfter}}));
    const auto at = static_cast<std::size_t>(*rc::gen::inRange(0, 3));
    const std::string workspace = "w" + std::to_string(step);
    if (*rc::gen::weightedElement<bool>({{3, true}, {1, false}})) {
      submissions.push_back({at, workspace, CodeOf(*keepers[at], "create workspace " + workspace)});
    } else {
      keepers[at]->Refresh();
    }
    for (std::size_t i = 0; i < keepers.size(); ++i) {
      RC_ASSERT(keepers[i]->revision() >= last[i]);
      last[i] = keepers[i]->revision();
    }
  }
  store.faults.clear();
  for (auto& keeper : keepers) RC_ASSERT(keeper->ResolvePending());
  for (auto& keeper : keepers) RC_ASSERT(keeper->Refresh() == StoreView::kInStep);
  for (auto& keeper : keepers) {
    RC_ASSERT(keeper->digest() == keepers.front()->digest());
    for (const Submission& submission : submissions) {
      const bool there = keeper->config()->workspaces().contains(WorkspaceId(submission.workspace));
      if (submission.code == ResultCode::kOk) RC_ASSERT(there);
      const bool refused =
          submission.code != ResultCode::kOk && submission.code != ResultCode::kUnresolvedChange;
      if (refused) RC_ASSERT(!there);
    }
  }
}

RC_BOOST_PROP(a_store_restored_from_an_older_copy_is_repaired, ()) {
  FaultyStore store;
  Keeper keeper(store, kImpatient, nullptr);
  const int before = *rc::gen::inRange(0, 10);
  const int after = *rc::gen::inRange(1, 10);
  for (int i = 0; i < before; ++i) CodeOf(keeper, "create workspace a" + std::to_string(i));
  const standin::KvTable copy = store.table;
  for (int i = 0; i < after; ++i) CodeOf(keeper, "create workspace b" + std::to_string(i));
  store.table = copy;
  RC_ASSERT(keeper.Refresh() == StoreView::kInStep);
  RC_ASSERT(keeper.revision().value() == static_cast<std::uint64_t>(before + after));
  Keeper newcomer(store, kImpatient, nullptr);
  RC_ASSERT(newcomer.Refresh() == StoreView::kInStep);
  RC_ASSERT(newcomer.digest() == keeper.digest());
  RC_ASSERT(CodeOf(keeper, "create workspace c") == ResultCode::kOk);
}

BOOST_AUTO_TEST_CASE(a_change_whose_answer_was_lost_is_resolved_later) {
  FaultyStore store;
  Keeper keeper(store, kImpatient, nullptr);
  store.faults = {Fault::kLostAfter};
  const auto failure =
      FailureOf([&] { return keeper.Submit("create workspace a", std::nullopt, "test"); });
  BOOST_TEST((failure->code == ResultCode::kUnresolvedChange));
  const ChangeId id(failure->detail);
  BOOST_TEST((keeper.StatusOf(id).state == ChangeState::kUnresolved));
  BOOST_TEST(keeper.ResolvePending());
  BOOST_TEST((keeper.StatusOf(id).state == ChangeState::kInForce));
  BOOST_TEST(keeper.revision().value() == 1U);
}

BOOST_AUTO_TEST_CASE(an_unresolved_change_that_lost_the_race_is_refused) {
  FaultyStore store;
  Keeper slow(store, kImpatient, nullptr);
  Keeper fast(store, kImpatient, nullptr);
  store.faults = {Fault::kLostBefore};
  const auto failure =
      FailureOf([&] { return slow.Submit("create workspace a", std::nullopt, "test"); });
  BOOST_TEST((CodeOf(fast, "create workspace b") == ResultCode::kOk));
  BOOST_TEST(slow.ResolvePending());
  BOOST_TEST((slow.StatusOf(ChangeId(failure->detail)).state == ChangeState::kRefused));
  BOOST_TEST((slow.digest() == fast.digest()));
}

BOOST_AUTO_TEST_CASE(the_loser_of_a_race_is_told_what_changed) {
  FaultyStore store;
  Keeper person(store, kImpatient, nullptr);
  Keeper automation(store, kImpatient, nullptr);
  BOOST_TEST((CodeOf(automation, "create workspace a", Revision(0)) == ResultCode::kOk));
  const auto failure =
      FailureOf([&] { return person.Submit("create workspace b", Revision(0), "test"); });
  BOOST_TEST((failure->code == ResultCode::kRevisionConflict));
  BOOST_TEST(failure->detail.find("create workspace a") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(nothing_is_accepted_on_a_diverged_store) {
  FaultyStore store;
  Keeper keeper(store, kImpatient, nullptr);
  CodeOf(keeper, "create workspace a");
  store.table = standin::KvTable();
  Keeper stranger(store, kImpatient, nullptr);
  CodeOf(stranger, "create workspace x");
  BOOST_TEST((keeper.Refresh() == StoreView::kDiverged));
  BOOST_TEST((CodeOf(keeper, "create workspace b") == ResultCode::kStaleStore));
  BOOST_TEST(keeper.config()->workspaces().contains(WorkspaceId("a")));
  BOOST_TEST(!keeper.config()->workspaces().contains(WorkspaceId("b")));
}

BOOST_AUTO_TEST_CASE(a_newcomer_reads_snapshot_and_changes) {
  FaultyStore store;
  Keeper keeper(store, kImpatient, nullptr);
  for (int i = 0; i < 30; ++i) CodeOf(keeper, "create workspace w" + std::to_string(i));
  Keeper newcomer(store, kImpatient, nullptr);
  BOOST_TEST((newcomer.Refresh() == StoreView::kInStep));
  BOOST_TEST((newcomer.digest() == keeper.digest()));
  BOOST_TEST(!store.table.Get(ChangeKey(1), {}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
