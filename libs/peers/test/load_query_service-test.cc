#include "peers/load_query_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "net/wait.h"
#include "peers/news_codec.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const ZoneId kOwnZone("a");
const ZoneId kFarZone("z");

/// A gateway that asks the only other one about an engine in `zone`, and gets the answer after
/// `round_trip`.
struct Fixture {
  net::io_context io;
  Metrics metrics;
  GatewayState state{io.get_executor(), kOwnZone, {}, {}, metrics};
  PeerLoads loads{state};
  TrackerMap trackers;
  std::chrono::milliseconds round_trip{0};
  LoadQueryService service{state,
                           loads,
                           trackers,
                           {DaemonId("self"), "10.0.0.1"},
                           [this](const TrackerMap::Gateway& to, const std::string& bytes) {
                             net::co_spawn(io, Answer(to.address, bytes), net::detached);
                           }};

  Fixture() {
    ZoneTopology topology;
    topology.SetRegion(kOwnZone, RegionId("west"));
    topology.SetRegion(kFarZone, RegionId("east"));
    state.SetTopology(topology);
  }

  net::awaitable<void> Answer(std::string address, std::string bytes) {
    Timer timer(io.get_executor());
    co_await WaitFor(timer, round_trip);
    const auto question = std::get<LoadQuestionMessage>(*DecodePeerMessage(bytes));
    LoadAnswerMessage answer;
    answer.id = question.id;
    for (const BackendHash hash : question.backends) {
      BackendReport report;
      report.backend = hash;
      answer.backends.push_back(report);
    }
    service.HandleAnswer(answer, address);
  }

  /// Returns whether the question about an engine in `zone` was answered.
  bool IsAnswered(const ZoneId& zone) {
    trackers.SetGateways({{"10.0.0.2", zone, StoreRevision(1)}}, Clock::now());
    BackendEntry entry;
    entry.id = BackendId("e");
    entry.zone = zone;
    state.directory().Put(entry);
    LoadQuestion question;
    question.backends = {state.directory().Find(entry.id)};
    bool answered = false;
    net::co_spawn(io, service.Query(question), [&](std::exception_ptr, const LoadAnswer& answer) {
      answered = answer.Find(*question.backends.front()) != nullptr;
    });
    io.restart();
    io.run_for(300ms);
    return answered;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(load_query_service, Fixture)

// The pattern: two regions with a round trip of 40 ms. With the limit of one region no question to
// the other is ever answered, all its engines look idle, and their trackers count as gone.
BOOST_AUTO_TEST_CASE(tracker_in_another_region_has_time_to_answer) {
  round_trip = 45ms;
  BOOST_TEST(IsAnswered(kFarZone));
  BOOST_TEST(metrics.GetCounter("ridgehold_load_questions_unanswered").value() == 0);
}

BOOST_AUTO_TEST_CASE(tracker_nearby_is_not_waited_for_as_long) {
  round_trip = 45ms;
  BOOST_TEST(!IsAnswered(kOwnZone));
  round_trip = 2ms;
  BOOST_TEST(IsAnswered(kOwnZone));
}

// The pattern: a gateway sizes the engine groups by the demand of others, which it must not count
// twice, and which a gateway without groups does not know.
BOOST_AUTO_TEST_CASE(answer_has_the_demand_for_the_service_if_its_engines_are_divided) {
  RoutingConfig parts;
  parts.version = ConfigVersion(1);
  parts.services.push_back({ServiceId("s")});
  RouteRule route;
  route.kind = RouteKind::kStream;
  route.pause_objective = 200ms;
  route.targets = {{ServiceId("s"), 1}};
  parts.routes.push_back(route);
  state.TakeSnapshot(*RoutingSnapshot::Create(parts));
  state.SetLoadAsker([](LoadQuestion) -> net::awaitable<LoadAnswer> { co_return LoadAnswer(); });
  LoadQuestionMessage question;
  question.daemon = DaemonId("other");
  question.service = HashOf(ServiceId("s"));
  BOOST_TEST(!service.Answer(question, Clock::now()).demand.has_value());
  GatewayLimits limits;
  limits.strict_pause = 300ms;
  state.SetLimits(limits);
  const TimePoint now = Clock::now();
  state.EngineGroupsOf(ServiceId("s"))->own_demand.OnStart(RequestGroup::kBulk, 3'000, now);
  BOOST_TEST(service.Answer(question, now).demand->bulk_rate > 500);
  question.daemon = DaemonId("self");
  BOOST_TEST(!service.Answer(question, now).demand.has_value());
}

// Guards against loads of other engines in an answer: a tracker answers a question of the process
// before a restart late, and the answer ends the wait for the one that the new process awaits.
BOOST_AUTO_TEST_CASE(answer_to_an_earlier_process_is_ignored) {
  std::vector<std::uint64_t> asked;
  trackers.SetGateways({{"10.0.0.2", kOwnZone, StoreRevision(1)}}, Clock::now());
  BackendEntry entry;
  entry.id = BackendId("e");
  entry.zone = kOwnZone;
  state.directory().Put(entry);
  LoadQuestion question;
  question.backends = {state.directory().Find(entry.id)};
  const auto process = [&] {
    const auto record = [&asked](const TrackerMap::Gateway&, const std::string& bytes) {
      asked.push_back(std::get<LoadQuestionMessage>(*DecodePeerMessage(bytes)).id);
    };
    return LoadQueryService(state, loads, trackers, {DaemonId("self"), "10.0.0.1"}, record);
  };
  LoadQueryService earlier = process();
  LoadQueryService later = process();
  bool answered = false;
  net::co_spawn(io, earlier.Query(question), net::detached);
  net::co_spawn(io, later.Query(question), [&](std::exception_ptr, const LoadAnswer& found) {
    answered = found.Find(*question.backends.front()) != nullptr;
  });
  io.poll();
  BOOST_REQUIRE(asked.size() == 2U);
  const auto answer = [&](std::uint64_t id, BackendHash backend) {
    LoadAnswerMessage message;
    message.id = id;
    BackendReport report;
    report.backend = backend;
    message.backends.push_back(report);
    later.HandleAnswer(message, "10.0.0.2");
  };
  answer(asked.front(), 1);
  answer(asked.back(), HashOf(*question.backends.front()));
  io.run_for(300ms);
  BOOST_TEST(answered);
}

BOOST_AUTO_TEST_SUITE_END()
