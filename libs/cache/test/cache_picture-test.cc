#include "cache/cache_picture.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

constexpr HolderSlot kSlots = 4;
const TimePoint kStart{std::chrono::hours(1)};

std::vector<std::uint32_t> Match(const CachePicture& picture, const std::vector<BlockHash>& chain,
                                 TimePoint now) {
  std::vector<std::uint32_t> matched(kSlots);
  picture.Match(chain, now, matched);
  return matched;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cache_picture)

RC_BOOST_PROP(agrees_with_a_plain_set_of_blocks_for_each_slot, ()) {
  CachePicture picture(1'000);
  std::map<HolderSlot, std::set<BlockHash>> model;
  const auto steps = *rc::gen::inRange(0, 60);
  for (int i = 0; i < steps; ++i) {
    const auto slot = static_cast<HolderSlot>(*rc::gen::inRange<int>(0, kSlots));
    const auto first = *rc::gen::inRange<BlockHash>(0, 10);
    const auto count = *rc::gen::inRange<BlockHash>(1, 5);
    std::vector<BlockHash> blocks;
    for (BlockHash b = first; b < first + count; ++b) blocks.push_back(b);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        picture.Remove(slot, blocks);
        for (const BlockHash block : blocks) model[slot].erase(block);
        break;
      case 1:
        picture.Forget(slot);
        model[slot].clear();
        break;
      default:
        picture.Add(slot, blocks, kStart);
        model[slot].insert(blocks.begin(), blocks.end());
    }
  }
  std::vector<BlockHash> chain(14);
  for (BlockHash b = 0; b < chain.size(); ++b) chain[b] = b;
  const auto matched = Match(picture, chain, kStart);
  for (HolderSlot slot = 0; slot < kSlots; ++slot) {
    std::uint32_t expected = 0;
    while (expected < chain.size() && model[slot].contains(chain[expected])) ++expected;
    RC_ASSERT(matched[slot] == expected);
  }
}

RC_BOOST_PROP(never_holds_more_blocks_than_its_bound, ()) {
  constexpr std::size_t kBound = 64;
  CachePicture picture(kBound);
  const auto adds = *rc::gen::inRange(0, 40);
  for (int i = 0; i < adds; ++i) {
    std::vector<BlockHash> blocks(*rc::gen::inRange<std::size_t>(0, 100));
    for (BlockHash& block : blocks) block = *rc::gen::arbitrary<BlockHash>();
    picture.Add(0, blocks, kStart + i * 1s);
    RC_ASSERT(picture.size() <= kBound);
  }
}

BOOST_AUTO_TEST_CASE(entries_not_confirmed_for_long_no_longer_count) {
  CachePicture picture(100);
  const std::vector<BlockHash> chain = {1, 2};
  picture.Add(0, chain, kStart);
  BOOST_TEST(Match(picture, chain, kStart + CachePicture::kMaxAge)[0] == 2U);
  BOOST_TEST(Match(picture, chain, kStart + CachePicture::kMaxAge + 1s)[0] == 0U);
}

BOOST_AUTO_TEST_CASE(the_oldest_blocks_go_first) {
  CachePicture picture(100);
  for (BlockHash i = 0; i < 101; ++i) {
    picture.Add(0, std::vector<BlockHash>{i}, kStart + std::chrono::seconds(i));
  }
  BOOST_TEST(picture.size() <= 75U);
  BOOST_TEST(picture.BlocksOf(0, 1).front() == 100U);
}

BOOST_AUTO_TEST_SUITE_END()
