#include "gateway/placement_scope.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "gateway/placement.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{1h};

/// Six zones in two regions, three in each.
struct Fixture {
  ZoneTopology topology;
  std::vector<BackendPtr> servers;

  Fixture() {
    for (int zone = 0; zone < 6; ++zone) {
      topology.SetRegion(ZoneOf(zone), RegionId(zone < 3 ? "west" : "east"));
    }
  }

  static ZoneId ZoneOf(int zone) { return ZoneId("z" + std::to_string(zone)); }

  void AddServers(int each_zone) {
    for (int zone = 0; zone < 6; ++zone) {
      for (int i = 0; i < each_zone; ++i) {
        auto server = std::make_shared<Backend>();
        server->entry.id = BackendId(std::to_string(zone) + "-" + std::to_string(i));
        server->entry.zone = ZoneOf(zone);
        servers.push_back(std::move(server));
      }
    }
  }

  ScopeQuery Query(int zone) const { return {ZoneOf(zone), topology, 20, kNow}; }
  PlacementScope Scope(int zone) const { return ScopeFor(Query(zone), servers); }
  std::size_t CountInScope(int zone) const {
    const ScopeQuery query = Query(zone);
    const PlacementScope scope = ScopeFor(query, servers);
    return std::ranges::count_if(
        servers, [&](const BackendPtr& server) { return IsInScope(query, scope, *server); });
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(placement_scope, Fixture)

// The pattern: two regions with 40 ms and a narrow link between them. If prompts had their homes in
// both, half of all requests and of what they fetch would cross that link.
BOOST_AUTO_TEST_CASE(regions_keep_their_requests) {
  AddServers(10);
  BOOST_TEST((Scope(0) == PlacementScope::kRegion));
  BOOST_TEST(CountInScope(0) == 30U);
  BOOST_TEST(CountInScope(5) == 30U);
}

BOOST_AUTO_TEST_CASE(region_without_a_healthy_server_uses_the_other) {
  AddServers(10);
  for (const BackendPtr& server : servers) {
    server->reachable =
        topology.Between(server->entry.zone, ZoneOf(0)) == ZoneDistance::kOtherRegion;
  }
  BOOST_TEST((Scope(0) == PlacementScope::kAll));
  BOOST_TEST((Scope(5) == PlacementScope::kRegion));
}

// The pattern: thousands of engines, and a cut between the zones. What a gateway does for a request
// must not grow with the engines of all zones, nor fail with the links between them.
BOOST_AUTO_TEST_CASE(zone_with_many_servers_needs_no_others) {
  AddServers(25);
  BOOST_TEST((Scope(1) == PlacementScope::kZone));
  BOOST_TEST(CountInScope(1) == 25U);
  for (int i = 0; i < 6; ++i) servers[25 + i]->avoid_until = kNow + 1s;
  BOOST_TEST((Scope(1) == PlacementScope::kRegion));
  BOOST_TEST((Scope(0) == PlacementScope::kZone));
}

BOOST_AUTO_TEST_CASE(small_fleet_in_one_region_uses_all) {
  topology = {};
  AddServers(10);
  BOOST_TEST((Scope(0) == PlacementScope::kAll));
}

BOOST_AUTO_TEST_CASE(other_region_is_chosen_only_for_a_long_queue_nearby) {
  AddServers(1);
  PromptChain chain;
  chain.parts = {{5, 6'300}};
  chain.shared_tokens = 6'300;
  chain.prompt_tokens = 9'200;
  PlacementQuery query;
  query.own_zone = ZoneOf(0);
  query.topology = &topology;
  query.chain = &chain;
  query.now = kNow;
  const std::vector<BackendPtr> candidates{servers[1], servers[3]};
  PlacementCosts costs;
  servers[1]->unprefilled_tokens = 50 * costs.prefill_tokens_per_ms;
  BOOST_TEST(ChooseBackend(query, candidates, costs).index == 0U);
  servers[1]->unprefilled_tokens = 200 * costs.prefill_tokens_per_ms;
  BOOST_TEST(ChooseBackend(query, candidates, costs).index == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
