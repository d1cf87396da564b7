#include "peers/recent_namings.h"

#include <boost/test/unit_test.hpp>

#include "gateway.pb.h"
#include "peers/news_codec.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const ModelId kModel("m");
const TimePoint kNow{1h};

WeightsNumber N(std::uint64_t number) { return WeightsNumber(number); }

/// What one gateway tells another one about `named`, as bytes.
std::string BytesOf(const WeightsHistory& named) {
  GossipMessage news;
  news.daemon = DaemonId("teller");
  news.namings = RecentNamings(named, kNow);
  return EncodeNews(news);
}

void Tell(const WeightsHistory& from, WeightsHistory& to) {
  ApplyNamings(to, DecodeNews(BytesOf(from))->namings, kNow);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(recent_namings)

// Guards against a rollout that stops at older weights: a late write of them has replaced the
// newest ones in the store, and the gateways that know those learned of them after an outage.
BOOST_AUTO_TEST_CASE(weights_whose_time_is_assumed_reach_a_gateway_that_starts) {
  WeightsHistory peer;
  peer.Record(kModel, N(2), kNow - 9s);
  peer.Record(kModel, N(3), kNow - 3s, true);
  WeightsHistory started;
  started.Record(kModel, N(2), kNow - 5s, true);
  Tell(peer, started);
  BOOST_TEST((started.Newest(kModel) == N(3)));
  BOOST_TEST(started.SupersededBy(kModel, N(2))->assumed);
  BOOST_TEST((started.SupersededSince(kModel, N(2)) == kNow - 3s));
}

// Guards against an assumed time that one gateway after another takes from the one that started
// last.
BOOST_AUTO_TEST_CASE(assumed_time_of_a_peer_replaces_no_time) {
  WeightsHistory started;
  started.Record(kModel, N(3), kNow - 8s, true);
  WeightsHistory assuming;
  assuming.Record(kModel, N(3), kNow - 3s, true);
  Tell(started, assuming);
  BOOST_TEST((assuming.SupersededSince(kModel, N(2)) == kNow - 3s));
  WeightsHistory knowing;
  knowing.Record(kModel, N(3), kNow - 1s);
  Tell(started, knowing);
  BOOST_TEST((knowing.SupersededSince(kModel, N(2)) == kNow - 1s));
  BOOST_TEST(!knowing.has_assumed_times());
}

BOOST_AUTO_TEST_CASE(known_time_of_a_peer_replaces_an_assumed_one) {
  WeightsHistory knowing;
  knowing.Record(kModel, N(3), kNow - 1s);
  WeightsHistory started;
  started.Record(kModel, N(3), kNow - 8s, true);
  Tell(knowing, started);
  BOOST_TEST((started.SupersededSince(kModel, N(2)) == kNow - 1s));
  BOOST_TEST(!started.has_assumed_times());
}

// Guards against older builds, which take all times that they are told for known ones.
BOOST_AUTO_TEST_CASE(assumed_times_are_apart_from_the_known_ones) {
  WeightsHistory named;
  named.Record(kModel, N(2), kNow - 9s);
  named.Record(kModel, N(3), kNow - 3s, true);
  wire::GatewayNews message;
  BOOST_REQUIRE(message.ParseFromString(BytesOf(named)));
  BOOST_REQUIRE(message.namings_size() == 1);
  BOOST_TEST(message.namings(0).number() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
