#include "gateway/routing_snapshot.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace ridgehold;

namespace {

RouteRule Route(const std::string& id, const std::string& prefix) {
  RouteRule route;
  route.id = RuleId(id);
  route.host = "h";
  route.path_prefix = prefix;
  route.targets = {{ServiceId("s"), 1}};
  return route;
}

RoutingConfig Parts(std::vector<RouteRule> routes) {
  RoutingConfig parts;
  parts.routes = std::move(routes);
  ServiceRule service;
  service.id = ServiceId("s");
  parts.services = {service};
  return parts;
}

std::string Found(const RoutingSnapshot& snapshot, const std::string& path) {
  const RouteRule* route = snapshot.FindRoute("h", path);
  return route == nullptr ? "" : route->id.value();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(routing_snapshot)

BOOST_AUTO_TEST_CASE(longest_prefix_wins) {
  const auto snapshot =
      RoutingSnapshot::Create(Parts({Route("a", "/a/"), Route("ab", "/a/b/"), Route("r", "/")}));
  BOOST_REQUIRE(snapshot.has_value());
  BOOST_TEST(Found(**snapshot, "/a/b/c") == "ab");
  BOOST_TEST(Found(**snapshot, "/a/b") == "a");
  BOOST_TEST(Found(**snapshot, "/a/x/b/") == "a");
  BOOST_TEST(Found(**snapshot, "/ab/") == "r");
  BOOST_TEST((*snapshot)->FindRoute("other", "/a/") == nullptr);
}

BOOST_AUTO_TEST_CASE(unknown_service_and_duplicate_route_are_rejected) {
  RouteRule dangling = Route("a", "/a/");
  dangling.targets = {{ServiceId("none"), 1}};
  const auto code_of = [](RoutingConfig parts) {
    return FailureOf([&] { return RoutingSnapshot::Create(std::move(parts)); })->code;
  };
  BOOST_TEST((code_of(Parts({dangling})) == ResultCode::kInvalidCommand));
  BOOST_TEST(
      (code_of(Parts({Route("a", "/a/"), Route("b", "/a/")})) == ResultCode::kInvalidCommand));
}

BOOST_AUTO_TEST_CASE(targets_are_picked_by_weight_and_stable_for_equal_request_ids) {
  RouteRule route = Route("a", "/a/");
  route.targets = {{ServiceId("s"), 90}, {ServiceId("t"), 10}, {ServiceId("u"), 0}};
  std::map<std::string, int> picked;
  for (int i = 0; i < 2'000; ++i) {
    const RequestId request("r" + std::to_string(i));
    BOOST_TEST((PickTarget(route, request) == PickTarget(route, request)));
    ++picked[PickTarget(route, request).value()];
  }
  BOOST_TEST(picked["t"] > 130);
  BOOST_TEST(picked["t"] < 270);
  BOOST_TEST(picked["u"] == 0);
}

BOOST_AUTO_TEST_CASE(parts_are_spread_over_all_stores_and_move_only_to_a_new_store) {
  const auto with_stores = [](int count) {
    RoutingConfig parts = Parts({});
    for (int i = 0; i < count; ++i) {
      ServiceRule store;
      store.id = ServiceId("store-" + std::to_string(i));
      store.kv_store = KvCacheStore{std::to_string(i), ZoneId("a")};
      parts.services.push_back(store);
    }
    return *RoutingSnapshot::Create(std::move(parts));
  };
  const auto two = with_stores(2);
  const auto three = with_stores(3);
  std::map<std::string, int> parts_at;
  int moved_between_old = 0;
  for (std::uint64_t part = 0; part < 900; ++part) {
    const std::string address = three->KvStoreFor(part)->address;
    ++parts_at[address];
    if (address != "2" && address != two->KvStoreFor(part)->address) ++moved_between_old;
  }
  for (const char* address : {"0", "1", "2"}) BOOST_TEST(parts_at[address] > 200);
  BOOST_TEST(moved_between_old == 0);
  BOOST_TEST(with_stores(0)->KvStoreFor(1) == nullptr);
}

// A transfer between regions takes ten times as long, over a link that all their traffic shares.
BOOST_AUTO_TEST_CASE(parts_are_kept_in_a_store_of_the_own_region_if_there_is_one) {
  RoutingConfig parts = Parts({});
  for (const char* zone : {"w1", "w2", "e1"}) {
    ServiceRule store;
    store.id = ServiceId(std::string("store-") + zone);
    store.kv_store = KvCacheStore{zone, ZoneId(zone)};
    parts.services.push_back(store);
  }
  const auto snapshot = *RoutingSnapshot::Create(std::move(parts));
  ZoneTopology topology;
  for (const char* zone : {"w1", "w2"}) topology.SetRegion(ZoneId(zone), RegionId("west"));
  for (const char* zone : {"e1", "e2"}) topology.SetRegion(ZoneId(zone), RegionId("east"));
  topology.SetRegion(ZoneId("n1"), RegionId("north"));
  std::set<std::string> used;
  for (std::uint64_t part = 0; part < 100; ++part) {
    BOOST_TEST(snapshot->KvStoreFor(part, ZoneId("e2"), topology)->address == "e1");
    used.insert(snapshot->KvStoreFor(part, ZoneId("w1"), topology)->address);
    BOOST_TEST(snapshot->KvStoreFor(part, ZoneId("w1"), topology) ==
               snapshot->KvStoreFor(part, ZoneId("w2"), topology));
    BOOST_TEST(snapshot->KvStoreFor(part, ZoneId("n1"), topology) == snapshot->KvStoreFor(part));
  }
  BOOST_TEST(used.size() == 2U);
}

// A route without an objective must not make the objective of the others zero.
BOOST_AUTO_TEST_CASE(objectives_of_a_service_cover_its_streaming_routes) {
  const auto stream = [](const std::string& id, int objective, int pause) {
    RouteRule route = Route(id, "/" + id + "/");
    route.kind = RouteKind::kStream;
    route.latency_objective = std::chrono::milliseconds(objective);
    route.pause_objective = std::chrono::milliseconds(pause);
    return route;
  };
  RouteRule plain = Route("plain", "/plain/");
  plain.latency_objective = std::chrono::milliseconds(10);
  const auto snapshot = RoutingSnapshot::Create(
      Parts({stream("a", 1'000, 300), stream("b", 250, 0), stream("c", 0, 0), plain}));
  BOOST_REQUIRE(snapshot);
  const ServiceId service("s");
  BOOST_TEST(snapshot.value()->ShortestObjective(service).count() == 250);
  BOOST_TEST(snapshot.value()->LongestObjective(service).count() == 1'000);
  BOOST_TEST(snapshot.value()->ShortestPause(service).count() == 300);
  BOOST_TEST(snapshot.value()->ShortestPause(ServiceId("other")).count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
