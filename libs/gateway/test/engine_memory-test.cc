#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "gateway/backend_load.h"
#include "gateway/backend_search.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const ServiceId kEngines("engines");

/// A gateway of a large fleet with two engines, whose trackers report `held` tokens of memory.
struct Fixture {
  net::io_context io;
  Metrics metrics;
  GatewayState state{io.get_executor(), ZoneId("a"), Limits(true), PlacementCosts{}, metrics};
  InboundRequest request;
  Duration deferred{0};                     ///< how long the last request waited
  std::map<BackendId, std::uint64_t> held;  ///< a tracker without an entry does not answer

  Fixture() {
    for (const char* id : {"x", "y"}) state.directory().Put(Engine(id, 1));
    state.SetLoadAsker([this](LoadQuestion question) -> net::awaitable<LoadAnswer> {
      LoadAnswer answer;
      for (const BackendPtr& backend : question.backends) {
        const auto found = held.find(backend->entry.id);
        if (found == held.end()) continue;
        BackendReport& report = answer.backends[HashOf(*backend)];
        report.backend = HashOf(*backend);
        report.work.memory_tokens = found->second;
      }
      co_return answer;
    });
    RoutingConfig parts;
    parts.version = ConfigVersion(1);
    ServiceRule engines;
    engines.id = kEngines;
    engines.engine = EngineProfile{.slots = 12, .cache_tokens = 71'780};
    parts.services.push_back(engines);
    RouteRule route;
    route.id = RuleId("r");
    route.host = "h";
    route.path_prefix = "/";
    route.kind = RouteKind::kStream;
    route.is_public = true;
    route.timeout = 5s;
    route.latency_objective = 40ms;
    route.pause_objective = 200ms;
    route.targets = {{kEngines, 1}};
    parts.routes.push_back(route);
    state.TakeSnapshot(*RoutingSnapshot::Create(parts));
    request.id = RequestId("q");
    request.host = "h";
    request.path = "/p";
    request.generation = GenerationRequest{ModelId("m"), 900, 9, {{1, 900}}};
  }

  static GatewayLimits Limits(bool enabled) {
    GatewayLimits limits;
    limits.strict_pause = 300ms;
    limits.memory_enabled = enabled;
    return limits;
  }

  static BackendEntry Engine(const std::string& id, std::uint64_t started) {
    BackendEntry entry;
    entry.id = BackendId(id);
    entry.started = StartStamp(started);
    entry.service = kEngines;
    entry.address = id + ":1";
    entry.zone = ZoneId("a");
    return entry;
  }

  BackendChoice Find() {
    request.received = Clock::now();
    ExchangePlan plan = *PlanExchange(state, request, Clock::now());
    const std::set<BackendId> tried;
    RequestRecord record;
    BackendSearch search(state, {plan, request, tried, record, [] { return false; },
                                 [&] { return plan.answer_by; }});
    std::optional<BackendChoice> choice;
    net::co_spawn(io, search.Find(false),
                  [&](std::exception_ptr, auto found) { choice = std::move(found); });
    io.restart();
    io.run();
    deferred = record.deferred;
    return *choice;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(engine_memory, Fixture)

BOOST_AUTO_TEST_CASE(engine_with_room_is_chosen_at_once) {
  held = {{BackendId("x"), 71'000}, {BackendId("y"), 30'000}};
  const BackendChoice choice = Find();
  BOOST_TEST(choice.fits);
  BOOST_TEST((choice.backend->entry.id == BackendId("y")));
  BOOST_TEST((deferred == Duration::zero()));
}

// Waiting must end: memory may stay full for longer than the caller waits.
BOOST_AUTO_TEST_CASE(request_without_room_waits_for_three_objectives_and_is_sent) {
  held = {{BackendId("x"), 71'000}, {BackendId("y"), 71'000}};
  BOOST_TEST(!Find().fits);
  BOOST_TEST((Clock::now() - request.received >= 120ms));
}

// Failure of the trackers must not block requests.
BOOST_AUTO_TEST_CASE(without_a_report_the_request_is_assumed_to_fit) {
  held = {{BackendId("x"), 71'000}, {BackendId("y"), 71'000}};
  Find();
  held.clear();
  BOOST_TEST(Find().fits);
  BOOST_TEST((deferred == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(prompt_larger_than_an_engine_is_refused_if_memory_is_limited) {
  request.generation->prompt_tokens = 71'780;
  const auto failure = FailureOf([&] { return PlanExchange(state, request, Clock::now()); });
  BOOST_TEST((failure->code == ResultCode::kPromptTooLarge));
  state.SetLimits(Limits(false));
  BOOST_TEST(!PlanExchange(state, request, Clock::now())->memory.has_value());
}

// Requests of a crashed engine must not take room from its successor.
BOOST_AUTO_TEST_CASE(memory_is_held_until_the_attempt_ends_and_not_at_the_next_incarnation) {
  const ExchangePlan plan = *PlanExchange(state, request, Clock::now());
  BackendChoice choice = Find();
  const BackendPtr before = choice.backend;
  {
    BackendLoad load(state, plan, request, choice);
    BOOST_TEST(state.LocalLoadAt(*before, Clock::now()).memory_tokens == 912);
    state.directory().Put(Engine(before->entry.id.value(), 2));
    BOOST_TEST(state.directory().Find(before->entry.id)->memory_tokens == 0);
  }
  BOOST_TEST(before->memory_tokens == 0);
}

BOOST_AUTO_TEST_SUITE_END()
