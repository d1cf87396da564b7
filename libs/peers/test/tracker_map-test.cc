#include "peers/tracker_map.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{1h};

std::vector<Member> Members(int zones, int each) {
  std::vector<Member> members;
  for (int zone = 0; zone < zones; ++zone) {
    for (int i = 0; i < each; ++i) {
      members.push_back({"10." + std::to_string(zone) + ".0." + std::to_string(i),
                         ZoneId("z" + std::to_string(zone)), StoreRevision(1)});
    }
  }
  return members;
}

struct Fixture {
  TrackerMap map;

  std::string TrackerOf(std::uint64_t hash, const std::string& zone, TimePoint now = kStart) const {
    return map.TrackerOf(hash, ZoneId(zone), now)->address;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(tracker_map, Fixture)

// Fleet size: 49 gateways and 40 engines in each zone.
BOOST_AUTO_TEST_CASE(engines_are_tracked_in_their_zone_and_spread_evenly) {
  map.SetGateways(Members(6, 49), kStart);
  std::map<std::string, int> tracked;
  for (std::uint64_t engine = 0; engine < 40; ++engine) {
    const std::string tracker = TrackerOf(engine, "z3");
    BOOST_TEST(tracker.starts_with("10.3."));
    ++tracked[tracker];
  }
  BOOST_TEST(tracked.size() > 20U);
  for (const auto& [tracker, count] : tracked) BOOST_TEST(count <= 6);
}

BOOST_AUTO_TEST_CASE(result_does_not_depend_on_member_order) {
  map.SetGateways(Members(2, 20), kStart);
  TrackerMap other;
  std::vector<Member> members = Members(2, 20);
  std::ranges::reverse(members);
  other.SetGateways(members, kStart);
  for (std::uint64_t engine = 0; engine < 50; ++engine) {
    BOOST_TEST(TrackerOf(engine, "z1") == other.TrackerOf(engine, ZoneId("z1"), kStart)->address);
  }
}

BOOST_AUTO_TEST_CASE(leaving_gateway_moves_only_its_own_engines) {
  std::vector<Member> members = Members(1, 20);
  map.SetGateways(members, kStart);
  std::map<std::uint64_t, std::string> before;
  for (std::uint64_t engine = 0; engine < 200; ++engine) before[engine] = TrackerOf(engine, "z0");
  const std::string gone = members.back().address;
  members.pop_back();
  map.SetGateways(members, kStart);
  for (const auto& [engine, tracker] : before) {
    if (tracker != gone) BOOST_TEST(TrackerOf(engine, "z0") == tracker);
  }
}

BOOST_AUTO_TEST_CASE(two_consecutive_misses_fail_over_temporarily) {
  map.SetGateways(Members(1, 5), kStart);
  const std::string tracker = TrackerOf(7, "z0");
  map.RecordMiss(tracker, kStart);
  BOOST_TEST(TrackerOf(7, "z0") == tracker);
  map.RecordMiss(tracker, kStart);
  BOOST_TEST(TrackerOf(7, "z0") != tracker);
  BOOST_TEST(TrackerOf(7, "z0", kStart + TrackerMap::kUnresponsiveCooldown) == tracker);
  // Still unresponsive: one more miss is enough.
  map.RecordMiss(tracker, kStart + TrackerMap::kUnresponsiveCooldown);
  BOOST_TEST(TrackerOf(7, "z0", kStart + TrackerMap::kUnresponsiveCooldown) != tracker);
  map.RecordAnswer(tracker);
  BOOST_TEST(TrackerOf(7, "z0", kStart + TrackerMap::kUnresponsiveCooldown) == tracker);
}

BOOST_AUTO_TEST_CASE(cool_down_survives_a_membership_change) {
  map.SetGateways(Members(1, 5), kStart);
  const std::string tracker = TrackerOf(7, "z0");
  map.RecordMiss(tracker, kStart);
  map.RecordMiss(tracker, kStart);
  map.SetGateways(Members(1, 6), kStart);
  BOOST_TEST(TrackerOf(7, "z0") != tracker);
}

// A rolling restart of instances.
BOOST_AUTO_TEST_CASE(restarted_process_is_updated_but_not_queried) {
  std::vector<Member> members = Members(1, 10);
  map.SetGateways(members, kStart);
  const std::string tracker = TrackerOf(7, "z0");
  const auto updated = map.TrackersOf(7, ZoneId("z0"), kStart);
  BOOST_REQUIRE(updated.size() == TrackerMap::kTrackersPerBackend);
  BOOST_TEST(updated[0]->address == tracker);
  const std::string second = updated[1]->address;
  for (Member& member : members) {
    if (member.address == tracker) member.key_revision = StoreRevision(2);
  }
  map.SetGateways(members, kStart + 1s);
  BOOST_TEST(TrackerOf(7, "z0", kStart + 1s) == second);
  BOOST_TEST(map.TrackersOf(7, ZoneId("z0"), kStart + 1s)[0]->address == tracker);
  BOOST_TEST(TrackerOf(7, "z0", kStart + 1s + TrackerMap::kWarmup) == tracker);
}

BOOST_AUTO_TEST_CASE(queried_gateway_is_updated) {
  std::vector<Member> members = Members(1, 10);
  map.SetGateways(members, kStart);
  for (Member& member : members) {
    const auto updated = map.TrackersOf(7, ZoneId("z0"), kStart);
    const bool is_updated = std::ranges::any_of(
        updated, [&](const TrackerMap::Gateway* one) { return one->address == member.address; });
    if (is_updated) member.key_revision = StoreRevision(2);
  }
  map.SetGateways(members, kStart + 1s);
  const auto updated = map.TrackersOf(7, ZoneId("z0"), kStart + 1s);
  BOOST_TEST(updated.size() == TrackerMap::kTrackersPerBackend + 1);
  BOOST_TEST(updated.back()->address == TrackerOf(7, "z0", kStart + 1s));
}

BOOST_AUTO_TEST_CASE(zone_without_gateways_is_tracked_by_others) {
  map.SetGateways(Members(2, 3), kStart);
  BOOST_TEST(!TrackerOf(7, "elsewhere").empty());
}

BOOST_AUTO_TEST_CASE(all_unresponsive_or_none_known) {
  BOOST_TEST(map.TrackerOf(7, ZoneId("z0"), kStart) == nullptr);
  map.SetGateways(Members(1, 1), kStart);
  map.RecordMiss("10.0.0.0", kStart);
  map.RecordMiss("10.0.0.0", kStart);
  BOOST_TEST(TrackerOf(7, "z0") == "10.0.0.0");
}

// Gateways of other zones are used when too few of the zone's own respond, as while all of them
// restart.
BOOST_AUTO_TEST_CASE(unresponsive_zone_is_tracked_by_others) {
  map.SetGateways(Members(2, 3), kStart);
  for (int i = 0; i < 3; ++i) {
    for (int miss = 0; miss < TrackerMap::kMaxMisses; ++miss) {
      map.RecordMiss("10.0.0." + std::to_string(i), kStart);
    }
  }
  BOOST_TEST(TrackerOf(7, "z0").starts_with("10.1."));
  for (const auto* tracker : map.TrackersOf(7, ZoneId("z0"), kStart)) {
    BOOST_TEST(tracker->address.starts_with("10.1."));
  }
  map.RecordAnswer("10.0.0.1");
  BOOST_TEST(TrackerOf(7, "z0") == "10.0.0.1");
  const auto updated = map.TrackersOf(7, ZoneId("z0"), kStart);
  BOOST_REQUIRE(updated.size() == TrackerMap::kTrackersPerBackend);
  BOOST_TEST(updated[0]->address == "10.0.0.1");
  BOOST_TEST(updated[1]->address.starts_with("10.1."));
}

// The load: a start of all, with one change of the members after the other. Work that grows with
// the square of the members takes minutes at this number.
BOOST_AUTO_TEST_CASE(changes_of_many_members_are_cheap, *boost::unit_test::timeout(20)) {
  std::vector<Member> members = Members(100, 250);
  for (int change = 0; change < 10; ++change) {
    members.back().key_revision = StoreRevision(2 + change);
    map.SetGateways(members, kStart);
  }
  BOOST_TEST(map.size() == members.size());
}

BOOST_AUTO_TEST_SUITE_END()
