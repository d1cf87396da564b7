#include "gateway/sampled_shares.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{1h};

}  // namespace

BOOST_AUTO_TEST_SUITE(sampled_shares)

BOOST_AUTO_TEST_CASE(unknown_first_part_has_the_whole_ring) {
  const SampledShares shares;
  BOOST_TEST(shares.SegmentOf(7).begin == 0);
  BOOST_TEST(shares.SegmentOf(7).length == 1);
}

BOOST_AUTO_TEST_CASE(segments_are_adjacent) {
  SampledShares shares;
  shares.Record(1, 100'000, 400'000, kStart);
  shares.Record(2, 300'000, 400'000, kStart);
  BOOST_TEST(shares.SegmentOf(1).begin == 0);
  BOOST_TEST(shares.SegmentOf(1).length == 0.25);
  BOOST_TEST(shares.SegmentOf(2).begin == 0.25);
  BOOST_TEST(shares.SegmentOf(2).length == 0.75);
}

BOOST_AUTO_TEST_CASE(old_samples_decay) {
  SampledShares shares;
  shares.Record(1, 400'000, 400'000, kStart);
  for (int i = 1; i <= 20; ++i) {
    shares.Record(2, 400'000, 400'000, kStart + i * SampledShares::kHalfLife);
  }
  BOOST_TEST(shares.SegmentOf(2).length == 1);
}

// 295 gateways each see about 35 long prompts in ten seconds, with four first parts. Too few to
// estimate shares alone: two gateways must agree on the segments through samples of the others.
BOOST_AUTO_TEST_CASE(gateways_with_few_requests_agree_through_the_samples_of_others) {
  std::minstd_rand random(3);
  std::vector<PrefixShares> gateways(295);
  for (PrefixShares& gateway : gateways) {
    for (int request = 0; request < 35; ++request) gateway.Record(1 + random() % 4, 9'000, kStart);
  }
  const auto collect_samples = [&] {
    SampledShares shares;
    for (int answer = 0; answer < 200; ++answer) {
      const PrefixShares& sampled = gateways[random() % gateways.size()];
      const std::uint64_t first = 1 + random() % 4;
      shares.Record(first, sampled.TokensOf(first), sampled.total(), kStart);
    }
    return shares;
  };
  const SampledShares one = collect_samples();
  const SampledShares other = collect_samples();
  for (std::uint64_t first = 1; first <= 4; ++first) {
    BOOST_TEST(std::abs(one.SegmentOf(first).begin - other.SegmentOf(first).begin) < 0.03);
    BOOST_TEST(std::abs(one.SegmentOf(first).length - 0.25) < 0.03);
  }
}

BOOST_AUTO_TEST_SUITE_END()
