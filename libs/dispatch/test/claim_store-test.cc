#include "dispatch/claim_store.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "kv_table.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

/// A store that loses answers, before or after the write took effect.
class LossyStore {
 public:
  standin::KvTable table;
  bool down = false;

  Result<std::optional<KvPair>> Get(const std::string& key) { return table.Get(key, {}); }
  Result<std::vector<KvPair>> List(const std::string& first, const std::string& end) {
    return table.List(first, end, {});
  }
  Result<KvTransactionAnswer> Commit(const KvTransaction& transaction) {
    if (down) return Fail(ResultCode::kPlatformUnavailable, "down");
    const int fate = *rc::gen::weightedElement<int>({{5, 0}, {1, 1}, {2, 2}});
    if (fate == 1) return Fail(ResultCode::kPlatformAnswerLost, "lost before");
    auto answer = table.Commit(transaction, {});
    if (fate == 2) return Fail(ResultCode::kPlatformAnswerLost, "lost after");
    return answer;
  }
  Result<LeaseId> GrantLease(std::chrono::seconds ttl) { return table.Grant(ttl, {}); }
  Result<bool> KeepAlive(LeaseId lease) { return table.KeepAlive(lease, {}); }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(claim_store)

RC_BOOST_PROP(a_key_lets_at_most_one_call_run_whatever_crashes_and_gets_lost, ()) {
  LossyStore store;
  using Claims = ClaimStore<LossyStore>;
  // Two entry instances; a caller tries again through either.
  std::vector<std::unique_ptr<Claims>> instances;
  for (int i = 0; i < 2; ++i) {
    instances.push_back(std::make_unique<Claims>(store, Claims::Options{.longest_call = 0ms}));
  }
  const WorkspaceId workspace("a");
  int runs = 0;
  bool answered = false;
  const auto tries = *rc::gen::inRange(1, 10);
  for (int i = 0; i < tries; ++i) {
    Claims& claims = *instances[*rc::gen::inRange<std::size_t>(0, 2)];
    store.down = *rc::gen::weightedElement<bool>({{5, false}, {1, true}});
    const RequestId attempt("attempt-" + std::to_string(i));
    const auto outcome = ValueOr(
        [&]() -> Result<std::optional<ClaimOutcome>> {
          BOOST_LEAF_AUTO(taken, claims.Claim(workspace, "key", attempt, "print"));
          return std::optional(std::move(taken));
        },
        [](const Failure&) { return std::optional<ClaimOutcome>(); });
    if (!outcome) continue;  // refused as not run, and nothing was sent
    if (outcome->verdict == ClaimVerdict::kAnswered) {
      RC_ASSERT(runs == 1);
      RC_ASSERT(outcome->stored.body == "done");
      continue;
    }
    if (outcome->verdict != ClaimVerdict::kMine) continue;
    // The call is sent: it runs, or the connection is refused.
    const int fate = *rc::gen::inRange(0, 3);
    if (fate == 0) {  // certainly not run
      claims.Release(workspace, "key", outcome->stored);
      continue;
    }
    ++runs;
    if (fate == 1) continue;  // the entry instance crashes now
    answered = claims.Complete(workspace, "key", outcome->stored, 200, "text", "done") || answered;
  }
  RC_ASSERT(runs <= 1);
}

BOOST_AUTO_TEST_CASE(a_key_used_for_another_request_is_refused) {
  IdempotencyClaim stored;
  stored.attempt = RequestId("a");
  stored.fingerprint = "one";
  BOOST_TEST((JudgeClaim(stored, RequestId("b"), "two", 0, 0ms) == ClaimVerdict::kMismatch));
}

BOOST_AUTO_TEST_CASE(an_unfinished_claim_is_in_progress_and_then_unknown) {
  IdempotencyClaim stored;
  stored.attempt = RequestId("a");
  stored.started_unix_ms = 100'000;
  const auto judge = [&](std::uint64_t now) {
    return JudgeClaim(stored, RequestId("b"), "", now, 30s);
  };
  BOOST_TEST((judge(120'000) == ClaimVerdict::kInProgress));
  BOOST_TEST((judge(200'000) == ClaimVerdict::kUnknown));
}

RC_BOOST_PROP(stored_claims_are_read_back_and_junk_is_not, (const std::string& text)) {
  IdempotencyClaim claim;
  claim.attempt = RequestId("a");
  claim.state = IdempotencyClaim::State::kDone;
  claim.body = text;
  const auto read = IdempotencyClaim::Parse(claim.Serialize());
  RC_ASSERT(read.has_value());
  RC_ASSERT(read->body == text);
  IdempotencyClaim::Parse(text);
}

BOOST_AUTO_TEST_SUITE_END()
