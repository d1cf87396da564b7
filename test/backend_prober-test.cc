#include "gateway/backend_prober.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const ServiceId kEngines("engines");

RoutingConfig Parts() {
  RoutingConfig parts;
  parts.version = ConfigVersion(1);
  ServiceRule engines;
  engines.id = kEngines;
  parts.services.push_back(engines);
  RouteRule route;
  route.id = RuleId("r");
  route.host = "h";
  route.path_prefix = "/";
  route.kind = RouteKind::kStream;
  route.latency_objective = 40ms;
  route.targets = {{kEngines, 1}};
  parts.routes.push_back(route);
  return parts;
}

/// One gateway and one backend server that listens, or not.
struct Fixture {
  net::io_context io;
  Metrics metrics;
  GatewayState state{io.get_executor(), ZoneId("a"), GatewayLimits{}, PlacementCosts{}, metrics};
  std::optional<tcp::acceptor> acceptor;
  tcp::endpoint endpoint{net::ip::make_address("127.0.0.1"), 0};
  BackendProber prober{state, Options()};

  Fixture() {
    Listen();
    endpoint = acceptor->local_endpoint();
    BackendEntry entry;
    entry.id = BackendId("b");
    entry.service = kEngines;
    entry.address = "127.0.0.1:" + std::to_string(endpoint.port());
    state.directory().Put(entry);
    state.TakeSnapshot(*RoutingSnapshot::Create(Parts()));
    net::co_spawn(io, prober.Run(), net::detached);
  }

  static BackendProber::Options Options() {
    BackendProber::Options options;
    options.look = 5ms;
    options.pause = 20ms;
    options.connect_limit = 100ms;
    return options;
  }

  void Listen() { acceptor.emplace(io, endpoint); }
  BackendPtr Find() { return state.directory().Find(BackendId("b")); }
  /// The backend server, listed as active like any that has a request or is to be probed.
  Backend& backend() {
    const BackendPtr found = Find();
    state.directory().MarkActive(found);
    return *found;
  }

  template <class Condition>
  bool Within(std::chrono::milliseconds limit, Condition condition) {
    const TimePoint end = Clock::now() + limit;
    while (!condition() && Clock::now() < end) io.run_for(2ms);
    return condition();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(backend_prober, Fixture)

// The pattern: a backend server out of reach for a while, under steady traffic.
BOOST_AUTO_TEST_CASE(server_out_of_reach_is_left_alone_until_a_probe_reaches_it) {
  acceptor->close();
  state.directory().RecordFailure(Find(), Clock::now());
  BOOST_TEST(Within(2s, [&] { return !backend().reachable; }));
  BOOST_TEST(state.pending_updates().unreachable.size() == 1U);
  io.run_for(100ms);
  BOOST_TEST(!backend().reachable);
  Listen();
  BOOST_TEST(Within(2s, [&] { return backend().reachable; }));
  BOOST_TEST(!backend().needs_probe);
  BOOST_TEST(backend().failures == 0U);
  BOOST_TEST((backend().avoid_until <= Clock::now()));
}

BOOST_AUTO_TEST_CASE(request_that_waits_too_long_has_its_server_probed) {
  acceptor->close();
  backend().waiting_since.insert(Clock::now());
  io.run_for(20ms);
  BOOST_TEST(backend().reachable);
  BOOST_TEST(Within(2s, [&] { return !backend().reachable; }));
}

BOOST_AUTO_TEST_CASE(failure_of_a_server_that_is_there_keeps_its_backoff) {
  state.directory().RecordFailure(Find(), Clock::now() + 1h);
  BOOST_TEST(Within(2s, [&] { return !backend().needs_probe; }));
  BOOST_TEST(backend().reachable);
  BOOST_TEST((backend().avoid_until > Clock::now() + 30min));
}

BOOST_AUTO_TEST_CASE(peers_word_alone_shuts_nobody_out) {
  backend().needs_probe = true;
  BOOST_TEST(backend().reachable);
  BOOST_TEST(Within(2s, [&] { return !backend().needs_probe; }));
  BOOST_TEST(backend().reachable);
  BOOST_TEST(state.pending_updates().unreachable.empty());
}

BOOST_AUTO_TEST_SUITE_END()
