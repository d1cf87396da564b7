#include "gateway/request_ordering.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "gateway/gateway_state.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const ServiceId kEngines("engines");
const ModelId kModel("m");

RouteRule Route(const std::string& prefix, std::chrono::milliseconds objective,
                std::chrono::milliseconds timeout) {
  RouteRule route;
  route.id = RuleId(prefix);
  route.host = "h";
  route.path_prefix = prefix;
  route.kind = RouteKind::kStream;
  route.timeout = timeout;
  route.latency_objective = objective;
  route.pause_objective = 300ms;
  route.targets = {{kEngines, 1}};
  return route;
}

/// A gateway of a large fleet with an engine for urgent short streams and patient long prompts.
struct Fixture {
  net::io_context io;
  Metrics metrics;
  GatewayState state{io.get_executor(), ZoneId("a"), Limits(), PlacementCosts{}, metrics};
  RequestRecord record;
  LoadQuestion asked;

  Fixture() {
    RoutingConfig parts;
    parts.version = ConfigVersion(1);
    parts.services.push_back({.id = kEngines, .engine = EngineProfile{.slots = 64}});
    parts.routes = {Route("/short/", 250ms, 15s), Route("/long/", 1'000ms, 5s)};
    parts.workspaces.emplace().push_back({.id = WorkspaceId("w"), .keys = {"key"}});
    state.TakeSnapshot(*RoutingSnapshot::Create(std::move(parts)));
    BackendEntry entry;
    entry.id = BackendId("e");
    entry.service = kEngines;
    state.directory().Put(entry);
    // Each answer reports half of the tokens as the workspace's.
    state.SetLoadAsker([this](LoadQuestion question) -> net::awaitable<LoadAnswer> {
      asked = std::move(question);
      LoadAnswer answer;
      answer.workspace_samples = {{500, 1'000}};
      co_return answer;
    });
  }

  static GatewayLimits Limits() {
    GatewayLimits limits;
    limits.priority.min_objective_ratio = 3;
    return limits;
  }

  InboundRequest Request(const std::string& path) {
    InboundRequest request;
    request.id = RequestId("q");
    request.host = "h";
    request.path = path;
    request.key = "key";
    request.received = Clock::now();
    request.generation = GenerationRequest{kModel, 826, 42, {{1, 198}, {2, 628}}};
    return request;
  }

  ExchangePlan Plan(const std::string& path) {
    ExchangePlan plan = *PlanExchange(state, Request(path), Clock::now());
    plan.features.content = RequestFingerprint(plan.route->latency_objective.count());
    return plan;
  }

  bool IsAdmittedWith(const ExchangePlan& plan, double queue_ms) {
    BackendChoice choice;
    choice.backend = state.directory().Find(BackendId("e"));
    choice.queue_ms = queue_ms;
    choice.first_event_ms = queue_ms + 11;
    return IsAdmitted(state, plan, choice, plan.received);
  }

  std::optional<std::chrono::milliseconds> Arrive(const std::string& path) {
    return RefuseOnArrival(state, Plan(path), Request(path), record, Clock::now());
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(request_ordering, Fixture)

// The pattern: patient prompts fill the engines up to the limit for all requests, and urgent
// streams wait behind them.
BOOST_AUTO_TEST_CASE(patient_request_waits_where_an_urgent_one_is_sent) {
  BOOST_TEST(IsAdmittedWith(Plan("/short/"), 200));
  BOOST_TEST(!IsAdmittedWith(Plan("/long/"), 200));
  BOOST_TEST(IsAdmittedWith(Plan("/long/"), 120));
}

// No request starves: after its maximum wait it is sent to whatever engine there is.
BOOST_AUTO_TEST_CASE(request_is_sent_after_its_maximum_wait) {
  for (const char* path : {"/short/", "/long/"}) {
    ExchangePlan plan = Plan(path);
    BOOST_TEST(!IsAdmittedWith(plan, 5'000));
    const TimePoint received = plan.received;
    plan.received = received - plan.order->max_wait;
    BOOST_TEST(
        AdmissionFor(state, plan).WaitExpired(AdmissionQueryFor(plan, BackendChoice(), received)));
  }
}

// Elsewhere the behaviour must not change.
BOOST_AUTO_TEST_CASE(nothing_is_ordered_without_cause) {
  GatewayLimits limits = Limits();
  limits.priority.enabled = false;
  state.SetLimits(limits);
  BOOST_TEST(!Plan("/long/").order);
  BOOST_TEST(IsAdmittedWith(Plan("/long/"), 200));
  state.SetLimits(Limits());
  BOOST_TEST(Plan("/long/").order.has_value());
  state.SetLoadAsker({});
  BOOST_TEST(!Plan("/long/").order);
  BOOST_TEST(!Arrive("/long/"));
  BOOST_TEST(!record.order);
}

BOOST_AUTO_TEST_CASE(request_that_would_wait_too_long_is_refused_on_arrival) {
  BOOST_TEST(!Arrive("/short/"));
  const ExchangePlan plan = Plan("/short/");
  WaitForecast& forecast = state.priority().forecasts[kEngines];
  forecast.RecordAdmitted(*plan.order, true, plan.order->max_wait + 100ms, Clock::now());
  const auto retry_after = Arrive("/short/");
  BOOST_REQUIRE(retry_after.has_value());
  BOOST_TEST(retry_after->count() >= 1'750);
  BOOST_TEST(!Arrive("/long/"));
  // Its return is refused for the rest of the time, although requests are admitted again.
  forecast.RecordAdmitted(*plan.order, false, 0ms, Clock::now());
  const auto early = Arrive("/short/");
  BOOST_REQUIRE(early.has_value());
  BOOST_TEST(early->count() <= retry_after->count());
  BOOST_TEST(metrics.GetCounter("ridgehold_refused_on_arrival", "urgency=\"urgent\"").value() == 2);
}

// Capacity would otherwise go to the workspace that sends most.
BOOST_AUTO_TEST_CASE(workspace_over_its_share_has_half_of_the_limits_while_requests_wait) {
  ExchangePlan plan = Plan("/short/");
  plan.order->over_share = true;
  BOOST_TEST(IsAdmittedWith(plan, 150));
  const DeferredRequests::Ticket waiting(state.deferred_requests(), 0);
  BOOST_TEST(!IsAdmittedWith(plan, 150));
  BOOST_TEST(IsAdmittedWith(plan, 100));
  BOOST_TEST(IsAdmittedWith(Plan("/short/"), 150));
}

BOOST_AUTO_TEST_CASE(answers_to_load_queries_tell_the_share) {
  const ExchangePlan plan = Plan("/short/");
  LoadQuestion question;
  question.workspace = WorkspaceHashOf(plan);
  net::co_spawn(io, state.QueryLoads(question), net::detached);
  io.run();
  BOOST_TEST(*state.priority().shares.ShareOf(question.workspace, Clock::now()) == 0.5);
}

BOOST_AUTO_TEST_SUITE_END()
