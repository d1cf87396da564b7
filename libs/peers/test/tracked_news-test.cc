#include "peers/tracked_news.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "peers/load_messages.h"
#include "peers/news_codec.h"
#include "peers/peer_loads.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{1h};

/// A gateway with a request at an engine that two others track.
struct Fixture {
  net::io_context io;
  Metrics metrics;
  GatewayState state{io.get_executor(), ZoneId("a"), {}, {}, metrics};
  TrackerMap trackers;
  TrackedNews news{state, "10.0.0.1"};
  const BackendHash engine = HashOf(BackendId("e"));

  Fixture() {
    trackers.SetGateways(
        {{"10.0.0.2", ZoneId("a"), StoreRevision(1)}, {"10.0.0.3", ZoneId("a"), StoreRevision(1)}},
        kStart);
    BackendEntry entry;
    entry.id = BackendId("e");
    entry.zone = ZoneId("a");
    state.directory().Put(entry);
  }

  std::vector<NewsForTracker> Collect(std::uint32_t running, double observed_ms, TimePoint now) {
    GossipItems items;
    if (observed_ms > 0) items.performance = {{engine, {50, observed_ms}}};
    return news.Collect({{engine, running}}, items, trackers, now);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(tracked_news, Fixture)

// A message for each event of a stream would be more than the gateways' share of a core.
BOOST_AUTO_TEST_CASE(performance_goes_once_with_the_next_message_that_is_due) {
  BOOST_TEST(Collect(1, 0, kStart).size() == 2U);
  BOOST_TEST(Collect(1, 60, kStart + 50ms).empty());
  BOOST_TEST(Collect(1, 70, kStart + 100ms).empty());
  const auto due = Collect(2, 0, kStart + 150ms);
  BOOST_REQUIRE(due.size() == 2U);
  for (const NewsForTracker& to : due) {
    BOOST_REQUIRE(to.items.performance.size() == 1U);
    BOOST_TEST(to.items.performance[0].sample.expected_ms == 100);
    BOOST_TEST(to.items.performance[0].sample.observed_ms == 130);
  }
  for (const NewsForTracker& to : Collect(3, 0, kStart + 200ms)) {
    BOOST_TEST(to.items.performance.empty());
  }
}

// Guards against an end of a process that only the gateway knows which saw it.
BOOST_AUTO_TEST_CASE(end_of_a_process_is_told_to_its_trackers_and_by_them) {
  GossipItems items;
  items.ended.push_back({engine, 40ms});
  BOOST_TEST(news.Collect({}, items, trackers, kStart).size() == 2U);
  GossipMessage message;
  message.daemon = DaemonId("d1");
  message.sequence = 1;
  message.items = items;
  PeerLoads(state).Apply(*DecodeNews(EncodeNews(message)), kStart);
  const BackendPtr backend = state.directory().FindByHash(engine);
  BOOST_TEST(backend->needs_probe);
  BOOST_TEST(!RunsAsRegistered(*backend, kStart));
  LoadAnswerMessage answer;
  answer.daemon = DaemonId("d2");
  answer.backends.push_back(state.ReportOn(*backend, LoadQuestion(), kStart + 10ms));
  const auto decoded = std::get<LoadAnswerMessage>(*DecodePeerMessage(Encode(answer)));
  BOOST_TEST((decoded.backends[0].ended == 50ms));
}

BOOST_AUTO_TEST_SUITE_END()
