#include "peers/peer_link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "gateway/gateway_state.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

/// A gateway on a loopback address of its own.
struct Gateway {
  Metrics metrics;
  GatewayState state;
  std::unique_ptr<PeerLink> link;

  Gateway(net::io_context& io, const std::string& address, const std::string& peer)
      : state(io.get_executor(), ZoneId("a"), GatewayLimits{}, PlacementWeights{}, metrics) {
    BackendEntry entry;
    entry.id = BackendId("b");
    state.directory().Put(entry);
    PeerLink::Options options;
    options.self = DaemonId(address);
    options.address = address;
    options.port = 23'451;
    // So long that only what is told at once can arrive within the test.
    options.period = 5s;
    options.heartbeat = 60s;
    link = std::move(
        *PeerLink::Create(state, options, [peer] { return std::vector<std::string>{peer}; }));
    net::co_spawn(io, link->Send(), net::detached);
    net::co_spawn(io, link->Receive(), net::detached);
  }

  Backend& backend() { return *state.directory().Find(BackendId("b")); }

  void Place(std::uint64_t part) {
    ++backend().in_flight;
    state.TellPlaced({HashOf(BackendId("b")), 100, 10, {{part, 90}}});
  }
};

struct Fixture {
  net::io_context io;
  Gateway first{io, "127.0.0.1", "127.0.0.2"};
  Gateway second{io, "127.0.0.2", "127.0.0.1"};

  template <class Condition>
  bool Within(std::chrono::milliseconds limit, Condition condition) {
    const TimePoint end = Clock::now() + limit;
    while (!condition() && Clock::now() < end) io.run_for(1ms);
    return condition();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(peer_link, Fixture)

BOOST_AUTO_TEST_CASE(placed_requests_are_told_at_once) {
  io.run_for(50ms);
  first.Place(7);
  BOOST_TEST(Within(1s, [&] { return second.backend().peers.running == 1; }));
  BOOST_TEST(second.backend().cache.Contains(7));
  first.Place(8);
  BOOST_TEST(Within(1s, [&] { return second.backend().peers.running == 2; }));
}

BOOST_AUTO_TEST_CASE(load_that_has_only_become_less_waits_for_the_period) {
  io.run_for(50ms);
  first.Place(7);
  BOOST_REQUIRE(Within(1s, [&] { return second.backend().peers.running == 1; }));
  first.backend().in_flight = 0;
  BOOST_TEST(!Within(200ms, [&] { return second.backend().peers.running == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()
