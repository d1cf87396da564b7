#include "peers/peer_link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "gateway/gateway_state.h"
#include "own_address.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const std::string kFirst = test::OwnAddress(1);
const std::string kSecond = test::OwnAddress(2);

/// A gateway on a loopback address of its own.
struct Gateway {
  Metrics metrics;
  GatewayState state;
  InstanceRecords members;
  std::unique_ptr<PeerLink> link;

  Gateway(net::io_context& io, const std::string& address, const std::string& peer,
          std::size_t most_told = 32, std::chrono::milliseconds period = 5s,
          std::chrono::milliseconds heartbeat = 60s)
      : state(io.get_executor(), ZoneId("a"), GatewayLimits{}, PlacementCosts{}, metrics) {
    BackendEntry entry;
    entry.id = BackendId("b");
    state.directory().Put(entry);
    PeerLink::Options options;
    options.self = DaemonId(address);
    options.address = address;
    options.port = 23'451;
    // By default so long that only what is told at once can arrive within the test.
    options.period = period;
    options.heartbeat = heartbeat;
    options.max_broadcast_gateways = most_told;
    for (const std::string& member : {address, peer}) {
      StoreItem item;
      item.key = kMemberPrefix + member;
      item.value = EncodeMember({member, ZoneId("a"), {}});
      members.Put(item);
    }
    link = std::move(*PeerLink::Create(state, options, members, {}));
    net::co_spawn(io, link->Send(), net::detached);
    net::co_spawn(io, link->Receive(), net::detached);
  }

  Backend& backend() { return *state.directory().Find(BackendId("b")); }

  void Place(std::uint64_t part) {
    ++backend().in_flight;
    state.directory().MarkActive(state.directory().Find(BackendId("b")));
    state.PublishPlacement({HashOf(BackendId("b")), 100, 10, {{part, 90}}});
  }
};

struct Fixture {
  net::io_context io;
  Gateway first{io, kFirst, kSecond};
  Gateway second{io, kSecond, kFirst};

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

struct HeartbeatFixture {
  net::io_context io;
  Gateway first{io, kFirst, kSecond, 32, 20ms, 100ms};
  Gateway second{io, kSecond, kFirst, 32, 20ms, 100ms};
};

// Guards against announcements of weights that are put only into messages which are then not sent,
// since nothing else in them is new.
BOOST_FIXTURE_TEST_CASE(named_weights_are_told_whenever_other_messages_are_sent, HeartbeatFixture) {
  const ModelId model("m");
  io.run_for(50ms);
  first.Place(7);
  io.run_for(50ms);
  first.state.named_weights().Record(model, WeightsNumber(3), Clock::now());
  io.run_for(1s);
  BOOST_TEST((second.state.named_weights().Newest(model) == WeightsNumber(3)));
}

/// Two gateways of a fleet in which those that track are told and asked.
struct TrackedFixture {
  net::io_context io;
  Gateway first{io, kFirst, kSecond, 1};
  Gateway second{io, kSecond, kFirst, 1};
  Gateway* tracker = nullptr;
  Gateway* other = nullptr;

  TrackedFixture() {
    io.run_for(20ms);
    TrackerMap map;
    map.SetGateways(first.members.Members(), Clock::now());
    const bool is_first =
        map.TrackerOf(HashOf(first.backend()), ZoneId(""), Clock::now())->address == kFirst;
    tracker = is_first ? &first : &second;
    other = is_first ? &second : &first;
  }

  LoadAnswer Ask(Gateway& gateway, std::uint64_t part) {
    LoadQuestion question;
    question.backends = {gateway.state.directory().Find(BackendId("b"))};
    question.parts = {{part, 90}};
    question.model = ModelId("m");
    LoadAnswer answer;
    bool done = false;
    net::co_spawn(io, gateway.state.QueryLoads(question), [&](std::exception_ptr, LoadAnswer got) {
      answer = std::move(got);
      done = true;
    });
    const TimePoint end = Clock::now() + 1s;
    while (!done && Clock::now() < end) io.run_for(1ms);
    return answer;
  }
};

BOOST_FIXTURE_TEST_CASE(tracker_is_told_and_answers_for_all_but_the_asking_one, TrackedFixture) {
  BOOST_REQUIRE(other->state.queries_peers());
  other->Place(7);
  tracker->Place(8);
  tracker->state.NotifyLoadChanged();
  other->state.NotifyLoadChanged();
  io.run_for(30ms);
  BOOST_TEST(tracker->backend().direct_peers.running == 1U);
  const LoadAnswer answer = Ask(*other, 8);
  const BackendReport* report = answer.Find(other->backend());
  BOOST_REQUIRE(report != nullptr);
  BOOST_TEST(report->work.running == 1U);
  BOOST_TEST(report->prefix_match.tokens == 90U);
  BOOST_TEST(other->backend().peers.running == 1U);
  const LoadAnswer own = Ask(*tracker, 7);
  BOOST_REQUIRE(own.Find(tracker->backend()) != nullptr);
  BOOST_TEST(own.Find(tracker->backend())->work.running == 1U);
  BOOST_TEST(own.Find(tracker->backend())->prefix_match.tokens == 90U);
}

BOOST_FIXTURE_TEST_CASE(hold_and_end_of_load_reach_the_tracker, TrackedFixture) {
  other->Place(7);
  other->state.NotifyLoadChanged();
  io.run_for(30ms);
  other->state.Hold(other->backend(), 2s, Clock::now());
  other->backend().in_flight = 0;
  other->state.NotifyLoadChanged();
  io.run_for(30ms);
  BOOST_TEST(tracker->backend().direct_peers.running == 0U);
  BOOST_TEST((tracker->backend().hold_until > Clock::now() + 1s));
  tracker->backend().weights[ModelId("m")] = WeightsNumber(4);
  const LoadAnswer answer = Ask(*other, 7);
  BOOST_REQUIRE(answer.Find(other->backend()) != nullptr);
  BOOST_TEST((answer.Find(other->backend())->hold > 1s));
  BOOST_TEST((other->backend().weights[ModelId("m")] == WeightsNumber(4)));
}

BOOST_FIXTURE_TEST_CASE(question_without_an_answer_ends_within_its_limit, TrackedFixture) {
  tracker->link->Stop();
  io.run_for(5ms);
  const TimePoint began = Clock::now();
  const LoadAnswer answer = Ask(*other, 7);
  BOOST_TEST(answer.backends.empty());
  BOOST_TEST((Clock::now() - began < 200ms));
  Ask(*other, 7);
  // From then on the other one is the next in rank.
  BOOST_TEST(Ask(*other, 7).Find(other->backend()) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
