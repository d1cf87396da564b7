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

// The size: 49 gateways and 40 engines a zone.
BOOST_AUTO_TEST_CASE(engines_are_tracked_in_their_zone_and_spread) {
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

BOOST_AUTO_TEST_CASE(order_in_which_gateways_are_known_does_not_matter) {
  map.SetGateways(Members(2, 20), kStart);
  TrackerMap other;
  std::vector<Member> members = Members(2, 20);
  std::ranges::reverse(members);
  other.SetGateways(members, kStart);
  for (std::uint64_t engine = 0; engine < 50; ++engine) {
    BOOST_TEST(TrackerOf(engine, "z1") == other.TrackerOf(engine, ZoneId("z1"), kStart)->address);
  }
}

BOOST_AUTO_TEST_CASE(gateway_that_goes_leaves_only_what_it_tracked) {
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

BOOST_AUTO_TEST_CASE(two_misses_in_a_row_hand_over_for_a_while) {
  map.SetGateways(Members(1, 5), kStart);
  const std::string tracker = TrackerOf(7, "z0");
  map.NoteMiss(tracker, kStart);
  BOOST_TEST(TrackerOf(7, "z0") == tracker);
  map.NoteMiss(tracker, kStart);
  BOOST_TEST(TrackerOf(7, "z0") != tracker);
  BOOST_TEST(TrackerOf(7, "z0", kStart + TrackerMap::kSilence) == tracker);
  // Still silent then: one more miss is enough.
  map.NoteMiss(tracker, kStart + TrackerMap::kSilence);
  BOOST_TEST(TrackerOf(7, "z0", kStart + TrackerMap::kSilence) != tracker);
  map.NoteHeard(tracker);
  BOOST_TEST(TrackerOf(7, "z0", kStart + TrackerMap::kSilence) == tracker);
}

BOOST_AUTO_TEST_CASE(silence_outlives_a_change_of_the_members) {
  map.SetGateways(Members(1, 5), kStart);
  const std::string tracker = TrackerOf(7, "z0");
  map.NoteMiss(tracker, kStart);
  map.NoteMiss(tracker, kStart);
  map.SetGateways(Members(1, 6), kStart);
  BOOST_TEST(TrackerOf(7, "z0") != tracker);
}

// The pattern: instances are restarted one after the other.
BOOST_AUTO_TEST_CASE(process_that_has_just_started_is_told_but_not_asked) {
  std::vector<Member> members = Members(1, 10);
  map.SetGateways(members, kStart);
  const std::string tracker = TrackerOf(7, "z0");
  const auto told = map.TrackersOf(7, ZoneId("z0"), kStart);
  BOOST_REQUIRE(told.size() == TrackerMap::kTold);
  BOOST_TEST(told[0]->address == tracker);
  const std::string second = told[1]->address;
  for (Member& member : members) {
    if (member.address == tracker) member.key_revision = StoreRevision(2);
  }
  map.SetGateways(members, kStart + 1s);
  BOOST_TEST(TrackerOf(7, "z0", kStart + 1s) == second);
  BOOST_TEST(map.TrackersOf(7, ZoneId("z0"), kStart + 1s)[0]->address == tracker);
  BOOST_TEST(TrackerOf(7, "z0", kStart + 1s + TrackerMap::kYouth) == tracker);
}

BOOST_AUTO_TEST_CASE(whoever_is_asked_is_told) {
  std::vector<Member> members = Members(1, 10);
  map.SetGateways(members, kStart);
  for (Member& member : members) {
    const auto told = map.TrackersOf(7, ZoneId("z0"), kStart);
    const bool is_told = std::ranges::any_of(
        told, [&](const TrackerMap::Gateway* one) { return one->address == member.address; });
    if (is_told) member.key_revision = StoreRevision(2);
  }
  map.SetGateways(members, kStart + 1s);
  const auto told = map.TrackersOf(7, ZoneId("z0"), kStart + 1s);
  BOOST_TEST(told.size() == TrackerMap::kTold + 1);
  BOOST_TEST(told.back()->address == TrackerOf(7, "z0", kStart + 1s));
}

BOOST_AUTO_TEST_CASE(zone_without_gateways_is_tracked_by_others) {
  map.SetGateways(Members(2, 3), kStart);
  BOOST_TEST(!TrackerOf(7, "elsewhere").empty());
}

BOOST_AUTO_TEST_CASE(all_silent_or_none_known) {
  BOOST_TEST(map.TrackerOf(7, ZoneId("z0"), kStart) == nullptr);
  map.SetGateways(Members(1, 1), kStart);
  map.NoteMiss("10.0.0.0", kStart);
  map.NoteMiss("10.0.0.0", kStart);
  BOOST_TEST(TrackerOf(7, "z0") == "10.0.0.0");
}

BOOST_AUTO_TEST_SUITE_END()
