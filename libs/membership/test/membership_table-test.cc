#include "membership/membership_table.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{std::chrono::hours(1)};

wire::Heartbeat Heartbeat(const std::string& daemon, const std::string& zone,
                          const std::string& incarnation = "1", std::uint64_t revision = 0) {
  wire::Heartbeat heartbeat;
  heartbeat.set_daemon(daemon);
  heartbeat.set_zone(zone);
  heartbeat.set_incarnation(incarnation);
  heartbeat.set_address(daemon + ":1");
  heartbeat.set_revision(revision);
  return heartbeat;
}

MembershipTable Table(const std::string& self = "m") { return {DaemonId(self), ZoneId("a"), 1s}; }

}  // namespace

BOOST_AUTO_TEST_SUITE(membership_table)

BOOST_AUTO_TEST_CASE(a_peer_unheard_for_four_heartbeats_has_failed) {
  MembershipTable table = Table();
  table.Take(Heartbeat("b", "a"), kStart);
  BOOST_TEST(table.LivePeers(kStart + 4s).size() == 1U);
  BOOST_TEST(table.LivePeers(kStart + 4001ms).empty());
}

BOOST_AUTO_TEST_CASE(a_late_heartbeat_of_a_replaced_daemon_is_ignored) {
  MembershipTable table = Table();
  BOOST_TEST(table.Take(Heartbeat("b", "a", "2", 9), kStart));
  BOOST_TEST(!table.Take(Heartbeat("b", "a", "1", 3), kStart + 1s));
  BOOST_TEST(table.LivePeers(kStart).front().revision.value() == 9U);
}

BOOST_AUTO_TEST_CASE(the_lowest_live_daemon_that_stays_is_the_relay) {
  MembershipTable table = Table("m");
  table.Take(Heartbeat("z", "a"), kStart);
  table.Take(Heartbeat("a", "other"), kStart);
  BOOST_TEST(table.IsRelay(kStart));
  table.Take(Heartbeat("b", "a"), kStart);
  BOOST_TEST(!table.IsRelay(kStart));
  wire::Heartbeat leaving = Heartbeat("b", "a");
  leaving.set_leaving(true);
  table.Take(leaving, kStart + 1s);
  BOOST_TEST(table.IsRelay(kStart + 1s));
}

RC_BOOST_PROP(daemons_that_hear_each_other_have_exactly_one_relay, ()) {
  const auto count = *rc::gen::inRange(1, 12);
  int relays = 0;
  for (int self = 0; self < count; ++self) {
    MembershipTable table = Table("d" + std::to_string(100 + self));
    for (int other = 0; other < count; ++other) {
      table.Take(Heartbeat("d" + std::to_string(100 + other), "a"), kStart);
    }
    relays += table.IsRelay(kStart) ? 1 : 0;
  }
  RC_ASSERT(relays == 1);
}

BOOST_AUTO_TEST_CASE(news_of_a_zone_counts_from_its_own_relay_or_the_own_zones) {
  MembershipTable table = Table("m");
  wire::Heartbeat relay = Heartbeat("b", "a");
  relay.set_relay(true);
  wire::ZoneSummary* news = relay.add_zones();
  news->set_zone("c");
  news->set_highest_revision(7);
  table.Take(relay, kStart);
  BOOST_TEST(table.Zones(kStart, Revision(7)).size() == 2U);
  wire::Heartbeat gossip = Heartbeat("x", "d");
  gossip.set_relay(true);
  gossip.add_zones()->set_zone("e");
  table.Take(gossip, kStart);
  BOOST_TEST(table.Zones(kStart, Revision(7)).size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_relay_that_hears_nothing_does_not_keep_old_news_alive) {
  MembershipTable table = Table("a");
  wire::Heartbeat far = Heartbeat("x", "c");
  far.set_relay(true);
  far.add_zones()->set_zone("c");
  table.Take(far, kStart);
  wire::Heartbeat fresh;
  table.Describe(kStart + 1s, Revision(1), 0, fresh);
  BOOST_TEST(fresh.zones_size() == 2);
  wire::Heartbeat stale;
  table.Describe(kStart + 60s, Revision(1), 1, stale);
  BOOST_TEST(stale.zones_size() == 1);
}

BOOST_AUTO_TEST_CASE(seeds_are_spoken_to_until_they_are_heard) {
  MembershipTable table = Table();
  table.AddSeeds({"b:1", "c:1"});
  BOOST_TEST(table.HeartbeatTargets(kStart, 0).size() == 2U);
  table.Take(Heartbeat("b", "a"), kStart);
  BOOST_TEST(table.HeartbeatTargets(kStart, 1).size() == 1U);
  BOOST_TEST(table.HeartbeatTargets(kStart, 5).size() == 2U);
}

BOOST_AUTO_TEST_CASE(addresses_of_replaced_daemons_are_forgotten) {
  MembershipTable table = Table();
  wire::Heartbeat heartbeat = Heartbeat("b", "a");
  heartbeat.add_known_addresses("gone:1");
  table.Take(heartbeat, kStart);
  BOOST_TEST(table.HeartbeatTargets(kStart, 0).size() == 2U);
  const TimePoint later = kStart + MembershipTable::kLearnedLife + 1s;
  table.Take(Heartbeat("b", "a"), later);
  BOOST_TEST(table.HeartbeatTargets(later, 0).size() == 1U);
}

RC_BOOST_PROP(arbitrary_bytes_are_no_heartbeat_or_a_harmless_one, (const std::string& bytes)) {
  MembershipTable table = Table();
  wire::PeerMessage message;
  if (message.ParseFromString(bytes)) table.Take(message.heartbeat(), kStart);
  wire::Heartbeat heartbeat;
  if (heartbeat.ParseFromString(bytes)) table.Take(heartbeat, kStart);
}

BOOST_AUTO_TEST_SUITE_END()
