#include "entry/state_dump.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "gateway/gateway_state.h"
#include "gateway/request_ordering.h"

using namespace ridgehold;

BOOST_AUTO_TEST_SUITE(state_dump)

BOOST_AUTO_TEST_CASE(effective_settings_and_backend_servers_are_dumped) {
  net::io_context io;
  Metrics metrics;
  GatewayState state(io.get_executor(), ZoneId("a"), GatewayLimits{}, PlacementCosts{}, metrics);
  BackendEntry entry;
  entry.id = BackendId("b");
  entry.started = StartStamp(17);
  state.directory().Put(entry);
  InstanceStatus status;
  status.settings["placement.older-weights"] = "61";
  const auto dump = nlohmann::json::parse(DumpState(state, status, Clock::now()));
  BOOST_TEST(dump["settings"]["placement.older-weights"].get<std::string>() == "61");
  BOOST_TEST(dump["backends"][0]["started"].get<int>() == 17);
}

BOOST_AUTO_TEST_CASE(shares_of_workspaces_are_dumped) {
  net::io_context io;
  Metrics metrics;
  GatewayState state(io.get_executor(), ZoneId("a"), GatewayLimits{}, PlacementCosts{}, metrics);
  RoutingConfig parts;
  parts.version = ConfigVersion(1);
  parts.workspaces =
      std::vector<WorkspaceRule>{{.id = WorkspaceId("seen")}, {.id = WorkspaceId("unseen")}};
  state.TakeSnapshot(*RoutingSnapshot::Create(std::move(parts)));
  const TimePoint now = Clock::now();
  state.priority().shares.RecordSample(WorkspaceHashOf(WorkspaceId("seen")), 1, {1, 4}, now);
  const auto dump = nlohmann::json::parse(DumpState(state, InstanceStatus(), now));
  const auto& workspaces = dump["priority"]["workspaces"];
  BOOST_REQUIRE(workspaces.size() == 1U);
  BOOST_TEST(workspaces[0]["workspace"].get<std::string>() == "seen");
  BOOST_TEST(workspaces[0]["share"].get<double>() == 0.25);
}

BOOST_AUTO_TEST_SUITE_END()
