#include "control/rollout_controller.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>

#include "memory_store.h"
#include "net/timer.h"

using namespace ridgehold;
using namespace ridgehold::test;
using namespace std::chrono_literals;

namespace {

const ModelId kModel("m");

/// Engines that load in `load_time` and can be silent, lose answers, connect slowly, or have long
/// requests.
class FakeEngines {
 public:
  struct Engine {
    bool silent = false;
    std::chrono::milliseconds connect_time{0};  ///< time to connect before an order can be sent
    std::chrono::milliseconds request_time{0};  ///< time that running requests take to finish
    WeightsNumber weights{1};
    std::uint64_t orders = 0;
    std::optional<WeightsNumber> loading;
    TimePoint loaded_at{};
    std::vector<LoadOrder> accepted;
    std::optional<TimePoint> first_order;
  };

  std::chrono::milliseconds load_time{60};
  std::chrono::milliseconds call_timeout{80};  ///< after which a call to a silent engine fails

  std::map<BackendId, Engine> engines;
  double lose_answers = 0;
  std::size_t max_loading = 0;
  std::vector<TimePoint> ordered_at;

  net::awaitable<std::optional<EngineStatus>> FetchStatus(const BackendEntry& entry) {
    Engine& engine = engines[entry.id];
    if (engine.silent) {
      Timer timer(co_await net::this_coro::executor, call_timeout);
      ErrorCode ignored;
      co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
      co_return std::nullopt;
    }
    FinishDueLoad(engine);
    EngineStatus report;
    report.weights[kModel] = engine.weights;
    report.busy = engine.loading.has_value();
    report.orders_taken = engine.orders;
    co_return report;
  }

  net::awaitable<OrderOutcome> SendLoadOrder(const BackendEntry& entry, const LoadOrder& load,
                                             const OrderPrecondition& may_order) {
    Engine& engine = engines[entry.id];
    if (engine.connect_time > 0ms) {
      Timer timer(co_await net::this_coro::executor, engine.connect_time);
      ErrorCode ignored;
      co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
    }
    if (!may_order()) co_return OrderOutcome::kNotSent;
    FinishDueLoad(engine);
    ordered_at.push_back(Clock::now());
    if (!engine.first_order) engine.first_order = ordered_at.back();
    if (engine.loading || engine.orders != load.expected_orders_taken) {
      co_return OrderOutcome::kConflict;
    }
    ++engine.orders;
    engine.loading = load.number;
    engine.loaded_at = Clock::now() + load_time;
    if (load.mode == ReloadMode::kFinishRequests) engine.loaded_at += engine.request_time;
    engine.accepted.push_back(load);
    max_loading = std::max(max_loading, CountLoading());
    const bool lost = static_cast<double>(engine.accepted.size() % 2) < lose_answers;
    co_return lost ? OrderOutcome::kUnknown : OrderOutcome::kStarted;
  }

 private:
  static void FinishDueLoad(Engine& engine) {
    if (!engine.loading || Clock::now() < engine.loaded_at) return;
    engine.weights = *engine.loading;
    engine.loading.reset();
  }

  std::size_t CountLoading() {
    return static_cast<std::size_t>(std::ranges::count_if(engines, [](auto& entry) {
      FinishDueLoad(entry.second);
      return entry.second.loading.has_value();
    }));
  }
};

struct Fixture {
  net::io_context io;
  Metrics metrics;
  GatewayState state{io.get_executor(), ZoneId("a"), {}, {}, metrics};
  MemoryTable table{io.get_executor()};
  MemoryStore store{table, 1};
  FakeEngines engines;
  RolloutController<FakeEngines, MemoryStore>::Options options = RolloutOptions();
  std::unique_ptr<LeasedKey<MemoryStore>> lock;
  std::unique_ptr<RolloutController<FakeEngines, MemoryStore>> rollout;
  TimePoint started{};

  void Start(int count, std::chrono::milliseconds handover_delay = 0ms) {
    for (int i = 0; i < count; ++i) AddEngine("e" + std::to_string(i));
    lock = std::make_unique<LeasedKey<MemoryStore>>(
        store, io.get_executor(), KeyOptions(handover_delay), [] { return true; });
    rollout = std::make_unique<RolloutController<FakeEngines, MemoryStore>>(engines, *lock, state,
                                                                            options);
    started = Clock::now();
    net::co_spawn(io, lock->Run(), net::detached);
    net::co_spawn(io, rollout->Run(), net::detached);
  }

  static LeasedKey<MemoryStore>::Options KeyOptions(std::chrono::milliseconds handover_delay) {
    LeasedKey<MemoryStore>::Options key;
    key.handover_delay = handover_delay;
    key.key = "duty";
    key.value = "d";
    key.ttl = 300ms;
    key.poll_interval = 10ms;
    return key;
  }

  static RolloutController<FakeEngines, MemoryStore>::Options RolloutOptions() {
    RolloutController<FakeEngines, MemoryStore>::Options options;
    options.self = DaemonId("d");
    options.poll_interval = 5ms;
    options.load_poll_interval = 10ms;
    options.first_load_poll = 30ms;
    options.expected_load_time = 90ms;
    options.deadline_margin = 100ms;
    options.max_expected_finish = 100ms;
    options.worst_case_finish = 500ms;
    options.prompt_response_time = 10ms;
    options.unresponsive_backoff = 100ms;
    options.hold_propagation = 5ms;
    options.max_drain = 100ms;
    options.load_timeout = 5s;
    return options;
  }

  void AddEngine(const std::string& id) {
    BackendEntry entry;
    entry.id = BackendId(id);
    entry.service = ServiceId("s");
    entry.weights[kModel] = WeightsNumber(1);
    state.directory().Put(entry);
    engines.engines[entry.id];
  }

  void NameWeights(std::uint64_t number) {
    state.named_weights().Record(kModel, WeightsNumber(number), Clock::now());
  }

  bool AllHave(std::uint64_t number) {
    return std::ranges::all_of(state.directory().all(), [&](const auto& entry) {
      return entry.second->weights.at(kModel) == WeightsNumber(number);
    });
  }

  void SetDeadline(std::chrono::milliseconds bound) {
    GatewayLimits limits;
    limits.older_weights = bound;
    state.SetLimits(limits);
  }

  /// Checks that each responsive engine got its order before `limit`: no request starts on older
  /// weights after the engine has accepted its order.
  void CheckResponsiveOrderedBy(TimePoint limit) {
    for (const auto& [id, engine] : engines.engines) {
      if (engine.silent) continue;
      BOOST_TEST(engine.first_order.has_value(), id.value());
      BOOST_TEST((engine.first_order && *engine.first_order < limit), id.value());
    }
  }

  /// Makes engines silent and idle; the others are busy, so the rollout would begin with the silent
  /// ones.
  void Silence(std::initializer_list<const char*> ids) {
    for (auto& [id, engine] : state.directory().all()) engine->peers.running = 3;
    for (const char* id : ids) {
      engines.engines[BackendId(id)].silent = true;
      Engine(id).peers.running = 0;
    }
  }

  Backend& Engine(const std::string& id) { return *state.directory().Find(BackendId(id)); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(rollout_controller, Fixture)

BOOST_AUTO_TEST_CASE(all_engines_load_the_newest_weights_two_of_nine_at_a_time) {
  Start(9);
  NameWeights(2);
  io.run_for(1s);
  BOOST_TEST(AllHave(2));
  BOOST_TEST(engines.max_loading == 2);
  BOOST_TEST(this->rollout->finished());
  for (const auto& [id, engine] : engines.engines) BOOST_TEST(engine.accepted.size() == 1);
}

BOOST_AUTO_TEST_CASE(no_order_is_sent_during_the_handover_delay) {
  Start(2, 200ms);
  NameWeights(2);
  io.run_for(600ms);
  BOOST_REQUIRE(!engines.ordered_at.empty());
  BOOST_TEST((engines.ordered_at.front() - started >= 200ms));
}

// A connection to a slow engine takes up to 0.7 s. An order sent after that without the lock could
// arrive within the handover delay of the next holder.
BOOST_AUTO_TEST_CASE(order_is_not_sent_if_the_lock_is_lost_while_connecting) {
  Start(1);
  engines.engines[BackendId("e0")].connect_time = 400ms;
  io.run_for(50ms);
  NameWeights(2);
  io.run_for(100ms);
  store.faults.down = true;
  io.run_for(700ms);
  BOOST_TEST(engines.ordered_at.empty());
}

BOOST_AUTO_TEST_CASE(no_order_is_sent_without_the_lock) {
  Start(3);
  io.run_for(50ms);
  store.faults.down = true;
  io.run_for(400ms);
  NameWeights(2);
  io.run_for(300ms);
  BOOST_TEST(engines.ordered_at.empty());
}

// Guards against a step that waits for weights that were named after its order.
BOOST_AUTO_TEST_CASE(rollout_continues_with_weights_named_meanwhile) {
  Start(5);
  NameWeights(2);
  io.run_for(40ms);
  NameWeights(3);
  io.run_for(800ms);
  BOOST_TEST(AllHave(3));
}

BOOST_AUTO_TEST_CASE(order_without_an_answer_is_not_sent_twice) {
  engines.lose_answers = 1;
  Start(3);
  NameWeights(2);
  io.run_for(800ms);
  BOOST_TEST(AllHave(2));
  for (const auto& [id, engine] : engines.engines) BOOST_TEST(engine.accepted.size() == 1);
}

BOOST_AUTO_TEST_CASE(engine_is_held_until_requests_that_cannot_be_resumed_have_ended) {
  Start(1);
  Engine("e0").peers.unrepeatable = 1;
  NameWeights(2);
  io.run_for(50ms);
  BOOST_TEST(engines.ordered_at.empty());
  BOOST_TEST((Engine("e0").hold_until > Clock::now()));
  BOOST_TEST(!state.pending_updates().holds.empty());
  Engine("e0").peers.unrepeatable = 0;
  io.run_for(200ms);
  BOOST_TEST(AllHave(2));
  BOOST_TEST((engines.engines[BackendId("e0")].accepted[0].mode == ReloadMode::kAbortRequests));
  BOOST_TEST((Engine("e0").hold_until <= Clock::now()));
}

BOOST_AUTO_TEST_CASE(engine_that_does_not_drain_finishes_its_requests_before_the_load) {
  Start(1);
  Engine("e0").unrepeatable = 1;
  NameWeights(2);
  io.run_for(400ms);
  BOOST_TEST(AllHave(2));
  BOOST_TEST((engines.engines[BackendId("e0")].accepted[0].mode == ReloadMode::kFinishRequests));
}

// Guards against a rollout that misses its deadline, so that requests start on weights that are too
// old. Ten seconds after the weights were named, two of seven engines had been updated.
//
// The conditions: overload, two silent engines, and a lock holder that is killed 1.4 s after that
// and is back half a second later. It waited for its own lease to expire, then 3 s for the handover
// delay, then 1.5 s for an engine to drain, then 4 s to 5 s for the requests at each engine to
// finish. Confirmed by the per-step log lines. All times here are a tenth of these.
BOOST_AUTO_TEST_CASE(deadline_is_met_under_load_with_silent_engines_and_a_killed_lock_holder) {
  GatewayLimits limits;
  limits.older_weights = 1s;
  state.SetLimits(limits);
  Start(9, 300ms);
  for (const char* silent : {"e0", "e1"}) engines.engines[BackendId(silent)].silent = true;
  for (auto& [id, engine] : engines.engines) {
    engine.request_time = 450ms;
    Engine(id.value()).peers.unrepeatable = 8;
  }
  io.run_for(400ms);
  NameWeights(2);
  io.run_for(140ms);
  store.faults.down = true;  // simulates a kill
  rollout->Stop();
  io.run_for(50ms);
  MemoryStore restarted_store(table, 2);
  LeasedKey<MemoryStore> restarted_lock(restarted_store, io.get_executor(), KeyOptions(300ms),
                                        [this] { return !table.items().contains("duty"); });
  RolloutController<FakeEngines, MemoryStore> restarted(engines, restarted_lock, state,
                                                        RolloutOptions());
  net::co_spawn(io, restarted_lock.Run(), net::detached);
  net::co_spawn(io, restarted.Run(), net::detached);
  // No request starts on the older weights once an engine has accepted its order.
  io.run_for(810ms);
  for (const auto& [id, engine] : engines.engines) {
    if (!engine.silent) BOOST_TEST(engine.accepted.size() == 1, id.value());
  }
  io.run_for(200ms);
  for (auto& [id, engine] : engines.engines) {
    if (!engine.silent) BOOST_TEST((Engine(id.value()).weights.at(kModel) == WeightsNumber(2)));
  }
}

BOOST_AUTO_TEST_CASE(draining_engine_gets_no_order) {
  Start(2);
  BackendEntry entry = Engine("e0").entry;
  entry.draining = true;
  state.directory().Put(entry);
  NameWeights(2);
  io.run_for(400ms);
  BOOST_TEST(engines.engines[BackendId("e0")].accepted.empty());
  BOOST_TEST((Engine("e1").weights.at(kModel) == WeightsNumber(2)));
}

// With 0.7 s until the deadline, two of nine engines at a time would take 0.8 s.
BOOST_AUTO_TEST_CASE(concurrency_rises_when_the_default_would_miss_the_deadline) {
  engines.load_time = 200ms;
  options.expected_load_time = 230ms;
  SetDeadline(700ms);
  Start(9);
  io.run_for(50ms);
  const TimePoint named_at = Clock::now();
  NameWeights(2);
  io.run_for(1s);
  CheckResponsiveOrderedBy(named_at + 700ms);
  BOOST_TEST(engines.max_loading > 2);
}

// Calls to silent engines take long, and must not count against the concurrency meanwhile.
BOOST_AUTO_TEST_CASE(silent_engines_do_not_count_against_the_concurrency) {
  engines.call_timeout = 1s;
  Start(9);
  Silence({"e3", "e4"});
  io.run_for(50ms);
  const TimePoint named_at = Clock::now();
  NameWeights(2);
  io.run_for(900ms);
  CheckResponsiveOrderedBy(named_at + 900ms);
}

// Status requests that fail at once, although requests to the engine succeed, must back off.
// Otherwise the rollout would start with these engines at each poll.
BOOST_AUTO_TEST_CASE(engines_without_a_report_are_backed_off) {
  engines.call_timeout = 1ms;
  Start(9);
  Silence({"e3", "e4"});
  io.run_for(50ms);
  const TimePoint named_at = Clock::now();
  NameWeights(2);
  for (int i = 0; i < 400; ++i) {
    io.run_for(2ms);
    for (const char* silent : {"e3", "e4"}) BackendDirectory::RecordSuccess(Engine(silent));
  }
  CheckResponsiveOrderedBy(named_at + 800ms);
}

// Without an entry in the list of active servers, nobody would look after the engine again.
BOOST_AUTO_TEST_CASE(engine_without_a_report_is_probed) {
  engines.call_timeout = 1ms;
  Start(2);
  Silence({"e1"});
  io.run_for(50ms);
  NameWeights(2);
  io.run_for(100ms);
  BOOST_TEST(Engine("e1").needs_probe);
  const auto& active = state.directory().Active();
  const BackendPtr silent = state.directory().Find(BackendId("e1"));
  BOOST_TEST((std::ranges::find(active, silent) != active.end()));
}

// Requests that do not end must not delay the order beyond the deadline.
BOOST_AUTO_TEST_CASE(engine_that_does_not_drain_is_ordered_before_the_deadline) {
  options.max_drain = 800ms;
  SetDeadline(600ms);
  Start(1);
  Engine("e0").unrepeatable = 1;
  io.run_for(50ms);
  const TimePoint named_at = Clock::now();
  NameWeights(2);
  io.run_for(1s);
  CheckResponsiveOrderedBy(named_at + 600ms);
}

// Engines drain during the handover delay, so the first order goes out right after it.
BOOST_AUTO_TEST_CASE(engine_drains_during_the_handover_delay) {
  options.max_drain = 300ms;
  Start(1, 500ms);
  Engine("e0").unrepeatable = 1;
  NameWeights(2);
  io.run_for(50ms);
  const TimePoint active_from = lock->active_from();
  io.run_for(950ms);
  BOOST_REQUIRE(!engines.ordered_at.empty());
  BOOST_TEST((engines.ordered_at.front() >= active_from));
  CheckResponsiveOrderedBy(active_from + 200ms);
}

// A drained engine must get no new requests while it waits for its turn to load.
BOOST_AUTO_TEST_CASE(engine_stays_held_while_it_waits_to_load) {
  engines.load_time = 800ms;
  options.hold_duration = 200ms;
  Start(2);
  io.run_for(50ms);
  NameWeights(2);
  io.run_for(150ms);
  BOOST_REQUIRE(engines.engines[BackendId("e0")].first_order.has_value());
  BOOST_REQUIRE((Engine("e1").hold_until > Clock::now()));
  for (int i = 0; i < 40; ++i) {
    io.run_for(10ms);
    BOOST_REQUIRE(!engines.engines[BackendId("e1")].first_order.has_value());
    BOOST_TEST((Engine("e1").hold_until > Clock::now()));
  }
}

BOOST_AUTO_TEST_SUITE_END()
