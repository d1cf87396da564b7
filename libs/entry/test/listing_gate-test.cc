#include "entry/listing_gate.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow = TimePoint() + 1h;

ListingDemand WaitingAt(std::size_t depth, Duration waited, std::size_t zone_members = 160) {
  ListingDemand demand;
  demand.has_relay = true;
  demand.depth = depth;
  demand.zone_members = zone_members;
  demand.waited = waited;
  return demand;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(listing_gate)

BOOST_AUTO_TEST_CASE(instance_without_a_relay_reads_at_once) {
  ListingGate gate({}, 1);
  BOOST_TEST(gate.MayList(ListingDemand(), kNow));
}

BOOST_AUTO_TEST_CASE(instances_next_to_the_store_read_after_the_common_wait) {
  ListingGate gate({}, 1);
  BOOST_TEST(!gate.MayList(WaitingAt(1, 2'900ms), kNow));
  BOOST_TEST(gate.MayList(WaitingAt(1, 3'000ms), kNow));
}

// Guards against listings by all instances whose wait ends at the same moment.
BOOST_AUTO_TEST_CASE(number_of_readers_does_not_grow_with_the_fleet) {
  for (const std::size_t zone_members : {40, 160, 640}) {
    std::vector<ListingGate> gates;
    for (std::size_t i = 0; i < zone_members; ++i)
      gates.emplace_back(ListingGate::Options(), i + 1);
    constexpr int kIntervals = 20;
    int readers = 0;
    for (int i = 0; i < 10 * kIntervals; ++i) {
      const TimePoint now = kNow + i * 100ms;
      for (ListingGate& gate : gates) {
        readers += gate.MayList(WaitingAt(4, 10s, zone_members), now) ? 1 : 0;
      }
    }
    // Two are expected in each interval.
    BOOST_TEST(readers >= kIntervals);
    BOOST_TEST(readers <= 4 * kIntervals);
  }
}

BOOST_AUTO_TEST_SUITE_END()
