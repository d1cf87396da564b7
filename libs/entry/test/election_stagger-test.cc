#include "entry/election_stagger.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxRank = 6;
constexpr auto kStagger = 250ms;
const TimePoint kStart{1h};

/// Returns how many of `instances` may apply `after` the lease became vacant.
std::size_t Campaigning(std::size_t instances, Duration after) {
  std::size_t count = 0;
  for (std::size_t rank = 0; rank < instances; ++rank) {
    ElectionStagger stagger(kStagger, kMaxRank);
    stagger.MayCampaign(true, rank, kStart);
    if (stagger.MayCampaign(true, rank, kStart + after)) ++count;
  }
  return count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(election_stagger)

BOOST_AUTO_TEST_CASE(first_instances_apply_one_by_one) {
  for (std::size_t turn = 0; turn <= kMaxRank; ++turn) {
    BOOST_TEST(Campaigning(30, turn * kStagger) == turn + 1);
  }
}

BOOST_AUTO_TEST_CASE(vacancy_is_counted_anew_after_each_holder) {
  ElectionStagger stagger(kStagger, kMaxRank);
  BOOST_TEST(!stagger.MayCampaign(true, 1, kStart));
  BOOST_TEST(!stagger.MayCampaign(false, 1, kStart + 1s));
  BOOST_TEST(!stagger.MayCampaign(true, 1, kStart + 2s));
  BOOST_TEST(stagger.MayCampaign(true, 1, kStart + 2s + kStagger));
}

// The load: a store that takes 0.5 s to answer, or the first instances cut off from it, and a
// thousand others that all see the lease vacant.
BOOST_AUTO_TEST_CASE(most_of_a_large_fleet_leaves_the_store_alone) {
  for (const std::size_t size : {100, 1'000, 4'000}) {
    BOOST_TEST(Campaigning(size, kMaxRank * kStagger + 500ms) <= kMaxRank + 1 + 3);
    // None waits for long if all before it are cut off.
    BOOST_TEST(Campaigning(size, 5s) == size);
  }
}

BOOST_AUTO_TEST_SUITE_END()
