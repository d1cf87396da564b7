#include "gateway/prefix_shares.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{1h};

}  // namespace

BOOST_AUTO_TEST_SUITE(prefix_shares)

BOOST_AUTO_TEST_CASE(whole_ring_is_one_segment_before_the_first_record) {
  const RingSegment segment = PrefixShares().SegmentOf(7);
  BOOST_TEST(segment.begin == 0);
  BOOST_TEST(segment.length == 1);
}

BOOST_AUTO_TEST_CASE(segments_are_adjacent_and_proportional_to_their_share) {
  PrefixShares shares;
  shares.Record(30, 1'000, kStart);
  shares.Record(10, 3'000, kStart);
  shares.Record(20, 6'000, kStart);
  BOOST_TEST(shares.SegmentOf(10).begin == 0);
  BOOST_TEST(shares.SegmentOf(10).length == 0.3);
  BOOST_TEST(shares.SegmentOf(20).begin == 0.3);
  BOOST_TEST(shares.SegmentOf(20).length == 0.6);
  BOOST_TEST(shares.SegmentOf(30).begin == 0.9);
  BOOST_TEST(shares.SegmentOf(25).length == 0);
}

BOOST_AUTO_TEST_CASE(unused_first_parts_are_forgotten) {
  PrefixShares shares;
  shares.Record(10, 8'000, kStart);
  for (int i = 1; i <= 8; ++i) shares.Record(20, 8'000, kStart + i * PrefixShares::kHalfLife);
  BOOST_TEST(shares.SegmentOf(10).length == 0);
  BOOST_TEST(shares.SegmentOf(20).length == 1);
}

RC_BOOST_PROP(segments_stay_within_the_ring, ()) {
  PrefixShares shares;
  TimePoint now = kStart;
  const auto count = *rc::gen::inRange(1, 60);
  for (int i = 0; i < count; ++i) {
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 4'000));
    shares.Record(*rc::gen::inRange(0, 12), *rc::gen::inRange(0, 20'000), now);
  }
  for (std::uint64_t first = 0; first < 13; ++first) {
    const RingSegment segment = shares.SegmentOf(first);
    RC_ASSERT(segment.begin >= 0);
    RC_ASSERT(segment.length >= 0);
    RC_ASSERT(segment.begin + segment.length <= 1 + 1e-9);
  }
}

BOOST_AUTO_TEST_SUITE_END()
