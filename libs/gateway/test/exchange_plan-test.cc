#include "gateway/exchange_plan.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

#include "gateway/backend_load.h"
#include "gateway/gateway_state.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const ModelId kModel("m");
const ServiceId kEngines("engines");
constexpr std::uint32_t kShared = 6'000;
constexpr std::uint32_t kOwn = 3'000;

ServiceRule Store(const std::string& name) {
  ServiceRule rule;
  rule.id = ServiceId(name);
  rule.kv_store = KvCacheStore{name + ":1", ZoneId("a")};
  return rule;
}

RoutingConfig Parts(const std::vector<std::string>& stores) {
  RoutingConfig parts;
  parts.version = ConfigVersion(1);
  ServiceRule engines;
  engines.id = kEngines;
  engines.engine = EngineProfile{.slots = 8, .cache_tokens = 100'000};
  parts.services.push_back(engines);
  for (const std::string& store : stores) parts.services.push_back(Store(store));
  RouteRule route;
  route.id = RuleId("r");
  route.host = "h";
  route.path_prefix = "/";
  route.kind = RouteKind::kStream;
  route.is_public = true;
  route.timeout = 4s;
  route.targets = {{kEngines, 1}};
  parts.routes.push_back(route);
  return parts;
}

struct Fixture {
  net::io_context io;
  Metrics metrics;
  GatewayState state{io.get_executor(), ZoneId("a"), GatewayLimits{}, PlacementCosts{}, metrics};
  InboundRequest request;

  Fixture() {
    for (const char* id : {"x", "y", "z"}) state.directory().Put(Engine(id, "a"));
    request.id = RequestId("q");
    request.host = "h";
    request.path = "/p";
    request.received = Clock::now();
  }

  static BackendEntry Engine(const std::string& id, const std::string& zone) {
    BackendEntry entry;
    entry.id = BackendId(id);
    entry.service = kEngines;
    entry.address = id + ":2";
    entry.zone = ZoneId(zone);
    entry.weights[kModel] = WeightsNumber(1);
    return entry;
  }

  /// Reports as many crashes as leave the request one trial.
  static void SetOnLastTrial(GatewayState& gateway, RequestFingerprint fingerprint) {
    PoisonUpdate crashes;
    for (BackendHash crashed = 1; crashed < PoisonOptions{}.max_crashes; ++crashed) {
      crashes.crashes.push_back({crashed, fingerprint});
    }
    gateway.poison().ApplyUpdate(crashes, Clock::now());
  }

  void Configure(const std::vector<std::string>& stores) {
    state.TakeSnapshot(*RoutingSnapshot::Create(Parts(stores)));
  }

  /// Sets up a generation request with two shared parts.
  void Prompt(std::uint64_t first, std::uint64_t second) {
    request.generation = GenerationRequest{
        kModel, kShared + kOwn, 10, {{first, kShared / 2}, {second, kShared / 2}, {99, kOwn}}};
  }

  ExchangePlan Plan() { return *PlanExchange(state, request, Clock::now()); }
  BackendChoice Choose() { return *ChooseFor(state, Plan(), request, {}, Clock::now()); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(exchange_plan, Fixture)

BOOST_AUTO_TEST_CASE(prompts_with_a_common_first_part_are_spread_over_all_stores) {
  Configure({"s", "t", "u"});
  std::map<std::string, int> prompts_at;
  for (std::uint64_t second = 0; second < 300; ++second) {
    Prompt(1, second);
    ++prompts_at[Choose().fetch_from.value_or("none")];
  }
  for (const char* store : {"s:1", "t:1", "u:1"}) BOOST_TEST(prompts_at[store] > 60);
}

BOOST_AUTO_TEST_CASE(equal_prompts_use_the_same_store) {
  Configure({"s", "t", "u"});
  for (std::uint64_t second = 0; second < 50; ++second) {
    Prompt(1, second);
    const auto store = Choose().fetch_from;
    BOOST_TEST(store.has_value());
    BOOST_TEST((Choose().fetch_from == store));
  }
}

BOOST_AUTO_TEST_CASE(parts_requested_from_a_store_are_saved_to_it) {
  Configure({"s"});
  Prompt(1, 2);
  const BackendChoice choice = Choose();
  BOOST_TEST(choice.fetch_from.value_or("") == "s:1");
  BOOST_TEST(choice.save_to.value_or("") == "s:1");
}

BOOST_AUTO_TEST_CASE(possibly_evicted_parts_are_fetched_and_saved) {
  Configure({"s"});
  Prompt(1, 2);
  const ExchangePlan plan = Plan();
  const BackendChoice first = Choose();
  { BackendLoad load(state, plan, request, first); }
  BOOST_TEST(!Choose().fetch_from.has_value());
  first.backend->cache.Use({}, 75'000, 100'000, Clock::now());
  const BackendChoice second = Choose();
  BOOST_TEST(second.backend == first.backend);
  BOOST_TEST(second.fetch_from.value_or("") == "s:1");
  BOOST_TEST(second.save_to.value_or("") == "s:1");
}

BOOST_AUTO_TEST_CASE(fetched_parts_take_up_cache_capacity) {
  Configure({"s"});
  Prompt(1, 2);
  PlacementUpdate saved;
  saved.parts = Plan().chain->parts;
  saved.weights = WeightsNumber(1);
  saved.saved_to = LinkOf("s:1");
  state.ApplyPlacement(saved, Clock::now() - 1s);
  const BackendChoice choice = Choose();
  BOOST_TEST(choice.tokens_to_prefill == kOwn);
  BOOST_TEST(choice.tokens_to_cache == kShared + kOwn);
  { BackendLoad load(state, Plan(), request, choice); }
  BOOST_TEST(choice.backend->cache.tokens() == kShared + kOwn + 10);
}

// If each zone chose among its own engines, copies of the request would crash one engine of each.
BOOST_AUTO_TEST_CASE(last_trial_uses_the_same_server_in_all_zones) {
  PlacementCosts zonal;
  zonal.min_zone_servers = 1;
  for (std::uint64_t number = 0; number < 20; ++number) {
    std::set<BackendId> chosen;
    for (const char* zone : {"a", "b"}) {
      GatewayState gateway{io.get_executor(), ZoneId(zone), GatewayLimits{}, zonal, metrics};
      gateway.TakeSnapshot(*RoutingSnapshot::Create(Parts({})));
      for (const char* id : {"x", "y", "z"}) gateway.directory().Put(Engine(id, "a"));
      for (const char* id : {"v", "w"}) gateway.directory().Put(Engine(id, "b"));
      ExchangePlan plan = *PlanExchange(gateway, request, Clock::now());
      plan.features.content = RequestFingerprint(number);
      SetOnLastTrial(gateway, plan.features.content);
      chosen.insert(ChooseFor(gateway, plan, request, {}, Clock::now())->backend->entry.id);
    }
    BOOST_TEST(chosen.size() == 1U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
