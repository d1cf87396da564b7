#include "gateway/engine_grouping.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>

#include "gateway/shortlist.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const ModelId kModel("m");
const ServiceId kService("engines");
constexpr int kEngines = 56;
constexpr int kGateways = 40;
constexpr double kTokensPerMs = 110;
constexpr auto kStream = 300ms;
constexpr std::uint32_t kShortTokens = 826;
constexpr std::uint32_t kLongTokens = 9'190;

RoutingConfig Parts() {
  RoutingConfig parts;
  parts.version = ConfigVersion(1);
  ServiceRule engines;
  engines.id = kService;
  engines.engine = EngineProfile{.slots = 12, .cache_tokens = 71'780};
  parts.services.push_back(engines);
  RouteRule route;
  route.id = RuleId("r");
  route.host = "h";
  route.path_prefix = "/";
  route.kind = RouteKind::kStream;
  route.is_public = true;
  route.latency_objective = 200ms;
  route.pause_objective = 200ms;
  route.targets = {{kService, 1}};
  parts.routes.push_back(route);
  return parts;
}

struct Stream {
  TimePoint ends{};
  bool* disturbed = nullptr;
  GroupDemand* demand = nullptr;
};

/// An engine's queue of long prompts and its running streams.
struct Engine {
  double queued_tokens = 0;
  std::deque<Stream> streams;
};

/// Half of deployment N in virtual time: 40 gateways and 56 engines in three zones, 74 short
/// prompts with streams and 197 long ones per second. A stream is disturbed if its engine prefills
/// part of a long prompt while it runs.
struct Fixture {
  net::io_context io;
  Metrics metrics;
  GatewayLimits limits;
  std::vector<std::unique_ptr<GatewayState>> gateways;
  std::map<const Backend*, Engine> engines;
  std::deque<bool> streams;  ///< whether each was disturbed
  std::minstd_rand random{7};
  TimePoint now{1h};

  Fixture() { limits.strict_pause = 300ms; }

  void Start() {
    for (int g = 0; g < kGateways; ++g) {
      auto state = std::make_unique<GatewayState>(io.get_executor(), ZoneOf(g), limits,
                                                  PlacementCosts{110}, metrics);
      state->SetGatewayHash(static_cast<std::uint64_t>(g) + 1);
      state->SetGateways(kGateways, now);
      state->SetLoadAsker(
          [](LoadQuestion) -> net::awaitable<LoadAnswer> { co_return LoadAnswer(); });
      state->TakeSnapshot(*RoutingSnapshot::Create(Parts()));
      for (int e = 0; e < kEngines; ++e) {
        BackendEntry entry;
        entry.id = BackendId("e" + std::to_string(e));
        entry.service = kService;
        entry.zone = ZoneOf(e);
        state->directory().Put(entry);
      }
      gateways.push_back(std::move(state));
    }
  }

  static ZoneId ZoneOf(int number) { return ZoneId("z" + std::to_string(number % 3)); }

  GatewayState& RandomGateway() { return *gateways[random() % gateways.size()]; }

  InboundRequest RequestOf(std::uint32_t tokens) {
    InboundRequest request;
    request.host = "h";
    request.path = "/p";
    const std::uint32_t shared = tokens == kLongTokens ? 6'300 : 198;
    request.generation =
        GenerationRequest{kModel, tokens, 9, {{random() % 300, shared}, {0, tokens - shared}}};
    return request;
  }

  /// The least loaded engine of the shortlist, by its actual state.
  BackendPtr Choose(GatewayState& state, const ExchangePlan& plan) {
    ShortlistQuery query;
    query.own_zone = state.zone();
    query.gateway = state.gateway_hash();
    query.chain = &*plan.chain;
    query.random_seed = random();
    query.now = now;
    query.group = PlacementGroupOf(state, plan, now);
    const auto list = Shortlist(query, state.directory().Usable(kService, now));
    return *std::ranges::min_element(list, {}, [&](const BackendPtr& backend) {
      const Engine& engine = EngineOf(*backend);
      return engine.queued_tokens + static_cast<double>(engine.streams.size());
    });
  }

  /// Engines are the same for all gateways: they are known by the first one's entries.
  Engine& EngineOf(const Backend& backend) {
    return engines[gateways.front()->directory().Find(backend.entry.id).get()];
  }

  void Place(std::uint32_t tokens, bool answered) {
    GatewayState& state = RandomGateway();
    const InboundRequest request = RequestOf(tokens);
    const ExchangePlan plan = *PlanExchange(state, request, now);
    Engine& engine = EngineOf(*Choose(state, plan));
    ServiceGroups* groups = state.EngineGroupsOf(kService);
    if (groups != nullptr) {
      groups->own_demand.OnStart(*plan.group, tokens, now);
      for (int i = 0; answered && i < 3; ++i) {
        const auto sample = RandomGateway().OwnDemandFor(HashOf(kService), now);
        groups->peer_demand.Record(*sample, now);
      }
    }
    if (tokens == kLongTokens) {
      engine.queued_tokens += tokens;
    } else {
      engine.streams.push_back({now + kStream, &streams.emplace_back(),
                                groups != nullptr ? &groups->own_demand : nullptr});
    }
  }

  void RunEngine(Engine& engine) const {
    const bool prefills = engine.queued_tokens > 0;
    engine.queued_tokens = std::max(0.0, engine.queued_tokens - kTokensPerMs);
    for (Stream& stream : engine.streams) *stream.disturbed |= prefills;
    while (!engine.streams.empty() && engine.streams.front().ends <= now) {
      GroupDemand* demand = engine.streams.front().demand;
      if (demand != nullptr) demand->OnEnd(RequestGroup::kInteractive, now);
      engine.streams.pop_front();
    }
  }

  /// Returns the fraction of the streams that were disturbed after the first `warm_up` ms.
  double RunArrivals(bool answered, int warm_up = 2'000, int end = 6'000) {
    double due_short = 0;
    double due_long = 0;
    std::size_t skipped = 0;
    for (int ms = 0; ms < end; ++ms, now += 1ms) {
      for (due_short += 0.0745; due_short >= 1; due_short -= 1) Place(kShortTokens, answered);
      for (due_long += 0.1975; due_long >= 1; due_long -= 1) Place(kLongTokens, answered);
      for (auto& [backend, engine] : engines) RunEngine(engine);
      if (ms == warm_up) skipped = streams.size();
    }
    const auto disturbed =
        std::count(streams.begin() + static_cast<std::ptrdiff_t>(skipped), streams.end(), true);
    return static_cast<double>(disturbed) / static_cast<double>(streams.size() - skipped);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(engine_grouping, Fixture)

BOOST_AUTO_TEST_CASE(streams_run_apart_from_long_prompts) {
  Start();
  BOOST_TEST(RunArrivals(true) < 0.03);
  Fixture without;
  without.limits.groups.enabled = false;
  without.Start();
  BOOST_TEST(without.RunArrivals(true) > 0.2);
}

// The failure: no tracker answers, so each gateway knows only its own demand, a few requests per
// second.
BOOST_AUTO_TEST_CASE(groups_are_kept_by_own_demand_if_no_tracker_answers) {
  Start();
  BOOST_TEST(RunArrivals(false) < 0.1);
}

// The failure: the engines of the group crash.
BOOST_AUTO_TEST_CASE(other_engines_replace_members_that_crashed) {
  Start();
  RunArrivals(true, 0, 3'000);
  GatewayState& state = *gateways.front();
  const ExchangePlan plan = *PlanExchange(state, RequestOf(kShortTokens), now);
  const auto engines_now = state.directory().Usable(kService, now);
  const auto members = std::ranges::count_if(
      engines_now, [](const BackendPtr& engine) { return engine->in_interactive_group; });
  for (const BackendPtr& engine : engines_now) engine->reachable = !engine->in_interactive_group;
  BOOST_TEST((PlacementGroupOf(state, plan, now) == RequestGroup::kInteractive));
  const auto is_working = [](const BackendPtr& engine) {
    return engine->in_interactive_group && engine->reachable;
  };
  const auto is_lost = [](const BackendPtr& engine) {
    return engine->in_interactive_group && !engine->reachable;
  };
  BOOST_TEST(std::ranges::count_if(engines_now, is_working) >= members);
  BOOST_TEST(std::ranges::none_of(engines_now, is_lost));
}

BOOST_AUTO_TEST_CASE(requests_without_strict_pauses_have_no_group) {
  limits.strict_pause = 0ms;
  Start();
  GatewayState& state = *gateways.front();
  const ExchangePlan plan = *PlanExchange(state, RequestOf(kShortTokens), now);
  BOOST_TEST(!PlacementGroupOf(state, plan, now).has_value());
  BOOST_TEST(!state.OwnDemandFor(HashOf(kService), now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
