#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "config/change_log.h"
#include "kv_table.h"
#include "reload/weight_reloader.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{std::chrono::hours(1)};

/// A store whose clock the test sets and whose calls fail while `down` is set.
class FakeStore {
 public:
  standin::KvTable table;
  TimePoint now = kStart;
  bool down = false;

  Result<std::optional<KvPair>> Get(const std::string& key) {
    if (down) return Fail(ResultCode::kPlatformUnavailable, "down");
    return table.Get(key, now);
  }
  Result<std::vector<KvPair>> List(const std::string& first, const std::string& end) {
    return table.List(first, end, now);
  }
  Result<KvTransactionAnswer> Commit(const KvTransaction& transaction) {
    if (down) return Fail(ResultCode::kPlatformUnavailable, "down");
    return table.Commit(transaction, now);
  }
  Result<LeaseId> GrantLease(std::chrono::seconds ttl) {
    if (down) return Fail(ResultCode::kPlatformUnavailable, "down");
    return table.Grant(ttl, now);
  }
  Result<bool> KeepAlive(LeaseId lease) {
    if (down) return Fail(ResultCode::kPlatformUnavailable, "down");
    return table.KeepAlive(lease, now);
  }
};

using Role = ReloadRole<FakeStore>;

std::unique_ptr<Role> MakeRole(FakeStore& store, const std::string& daemon) {
  return std::make_unique<Role>(store, DaemonId(daemon),
                                Role::Options{.ttl = 10s, .now = [&store] { return store.now; }});
}

/// An engine that executes orders; `checks_fencing` tells whether it rejects old fencing tokens.
struct FakeEngine {
  bool checks_fencing = true;
  std::string weights = "w1";
  std::uint64_t highest_token = 0;
  std::vector<std::string> history = {"w1"};

  bool Load(const ReloadOrder& order, std::uint64_t fencing_token) {
    if (checks_fencing && fencing_token < highest_token) return false;
    if (order.from.value() != weights) return false;
    highest_token = std::max(highest_token, fencing_token);
    weights = order.to.value();
    history.push_back(weights);
    return true;
  }
};

/// An order that a daemon has created and not sent yet.
struct PendingOrder {
  ReloadOrder order;
  std::uint64_t fencing_token;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(reload)

BOOST_AUTO_TEST_CASE(a_holder_stops_acting_before_its_lease_ends) {
  LeaseClock clock;
  clock.Renew(kStart, 10s);
  BOOST_TEST(clock.MayAct(kStart + 7999ms));
  BOOST_TEST(!clock.MayAct(kStart + 8s));
  clock.Renew(kStart - 5s, 10s);  // the response to an earlier call arrives late
  BOOST_TEST(clock.MayAct(kStart + 7999ms));
}

BOOST_AUTO_TEST_CASE(at_most_two_daemons_hold_a_place) {
  FakeStore store;
  auto a = MakeRole(store, "a");
  auto b = MakeRole(store, "b");
  auto c = MakeRole(store, "c");
  BOOST_TEST(a->Acquire());
  BOOST_TEST(b->Acquire());
  BOOST_TEST(!c->Acquire());
  a->Release();
  BOOST_TEST(c->Acquire());
}

BOOST_AUTO_TEST_CASE(a_holder_suspended_past_its_lease_gets_no_fencing_token) {
  FakeStore store;
  auto suspended = MakeRole(store, "suspended");
  auto other = MakeRole(store, "other");
  auto successor = MakeRole(store, "successor");
  BOOST_TEST(suspended->Acquire());
  BOOST_TEST(other->Acquire());
  const auto first = suspended->NextFencingToken();
  store.now += 11s;
  other->KeepAlive();
  BOOST_TEST(successor->Acquire());
  BOOST_TEST(!suspended->Held());
  BOOST_TEST(!suspended->NextFencingToken().has_value());
  BOOST_TEST(successor->NextFencingToken().value() > first.value());
}

RC_BOOST_PROP(late_orders_never_revert_weights_with_at_most_two_holders, ()) {
  constexpr std::size_t kDaemons = 4;
  FakeStore store;
  std::vector<std::unique_ptr<Role>> roles;
  std::vector<std::optional<PendingOrder>> pending_orders(kDaemons);
  for (std::size_t i = 0; i < kDaemons; ++i) {
    roles.push_back(MakeRole(store, "d" + std::to_string(i)));
  }
  FakeEngine engine;
  engine.checks_fencing = *rc::gen::arbitrary<bool>();
  int target = 2;
  const int steps = *rc::gen::inRange(1, 80);
  for (int step = 0; step < steps; ++step) {
    const auto at = *rc::gen::inRange<std::size_t>(0, kDaemons);
    Role& role = *roles[at];
    store.down = *rc::gen::weightedElement<bool>({{6, false}, {1, true}});
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        store.now +=
            std::chrono::seconds(*rc::gen::inRange(1, 12));  // while all daemons are suspended
        break;
      case 1:
        role.Held() ? role.KeepAlive() : role.Acquire();
        break;
      case 2:  // creates an order; may be suspended before sending it
        if (role.Held() && engine.weights != "w" + std::to_string(target)) {
          if (const auto fencing_token = role.NextFencingToken()) {
            pending_orders[at] = PendingOrder{{BackendId("e"), "", WeightsVersion(engine.weights),
                                               WeightsVersion("w" + std::to_string(target))},
                                              *fencing_token};
          }
        }
        break;
      case 3:  // sends it however late: a suspension may follow the check before sending
        if (pending_orders[at])
          engine.Load(pending_orders[at]->order, pending_orders[at]->fencing_token);
        pending_orders[at].reset();
        break;
      case 4:
        ++target;  // operators configure newer weights
        break;
      default:
        role.Release();
    }
    const auto held = std::count_if(roles.begin(), roles.end(),
                                    [](const auto& holder) { return holder->Held(); });
    RC_ASSERT(held <= Role::kMaxConcurrentReloads);
  }
  for (std::size_t i = 1; i < engine.history.size(); ++i) {
    RC_ASSERT(std::stoi(engine.history[i].substr(1)) > std::stoi(engine.history[i - 1].substr(1)));
  }
}

BOOST_AUTO_TEST_CASE(engines_are_reloaded_to_the_configured_weights_one_at_a_time) {
  const auto config = ValueOr(
      [] {
        return ApplyScript(Config(),
                           "create model m weights w2 reload auto\n"
                           "create model n weights w2\n");
      },
      [](const Failure&) { return Config(); });
  std::vector<BackendState> backends(3);
  for (std::size_t i = 0; i < backends.size(); ++i) {
    backends[i].server.id = BackendId("e" + std::to_string(i));
    backends[i].server.zone = ZoneId("a");
    backends[i].server.model = ModelId(i == 2 ? "n" : "m");
    backends[i].weights = WeightsVersion("w1");
  }
  FakeStore store;
  std::vector<std::string> ordered;
  WeightReloader<FakeStore> reloader(
      Role(store, DaemonId("d"), {.ttl = 10s, .now = [&store] { return store.now; }}),
      ReloadPlan(ZoneId("a")), [&](const ReloadOrder& order, std::uint64_t) {
        ordered.push_back(order.engine.value());
        return true;
      });
  const auto step = [&] { reloader.Step(config, backends, store.now); };
  step();
  step();
  BOOST_TEST(ordered == (std::vector<std::string>{"e0"}), boost::test_tools::per_element());
  backends[0].weights = WeightsVersion("w2");
  step();
  BOOST_TEST(ordered.back() == "e1");
  backends[1].weights = WeightsVersion("w2");
  step();
  BOOST_TEST(ordered.size() == 2U);  // model n has no automatic reload
}

BOOST_AUTO_TEST_SUITE_END()
