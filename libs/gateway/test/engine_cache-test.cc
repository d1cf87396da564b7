#include "gateway/engine_cache.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{1h};
constexpr std::uint64_t kCapacity = 10'000;

std::vector<SharedPart> Prompt(std::uint64_t subject) { return {{1, 1'000}, {subject, 2'000}}; }

struct Fixture {
  EngineCache cache;

  void Use(std::uint64_t subject, std::uint32_t own = 500) {
    cache.Use(Prompt(subject), own, kCapacity, kNow);
  }
  std::uint32_t CachedTokens(std::uint64_t subject) const {
    return cache.Find(Prompt(subject), 0ms, kNow).tokens;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(engine_cache, Fixture)

BOOST_AUTO_TEST_CASE(reused_parts_outlive_unused_ones) {
  Use(10);
  Use(11);
  for (int i = 0; i < 20; ++i) Use(11);
  BOOST_TEST(CachedTokens(11) == 3'000U);
  BOOST_TEST(CachedTokens(10) == 1'000U);
}

BOOST_AUTO_TEST_CASE(reuse_of_cached_parts_counts_as_use) {
  Use(10, 0);
  Use(11, 0);
  Use(12, 0);
  const std::vector<SharedPart> first = Prompt(10);
  BOOST_TEST(cache.Find(first, 0ms, kNow).used_since == 5'000U);
  Use(12, 0);
  BOOST_TEST(cache.Find(first, 0ms, kNow).used_since == 5'000U);
}

BOOST_AUTO_TEST_CASE(parts_count_as_prefilled_after_the_prefill_delay) {
  Use(10);
  BOOST_TEST(cache.Find(Prompt(10), 250ms, kNow + 200ms).prefilled == 0U);
  BOOST_TEST(cache.Find(Prompt(10), 250ms, kNow + 250ms).prefilled == 3'000U);
}

BOOST_AUTO_TEST_CASE(missing_first_part_makes_later_parts_unusable) {
  const std::vector<SharedPart> rest = {{10, 2'000}};
  cache.Use(rest, 0, kCapacity, kNow);
  BOOST_TEST(CachedTokens(10) == 0U);
}

BOOST_AUTO_TEST_CASE(clear_removes_everything) {
  Use(10);
  cache.Clear();
  BOOST_TEST(CachedTokens(10) == 0U);
  BOOST_TEST(cache.tokens() == 0U);
}

RC_BOOST_PROP(capacity_is_never_exceeded_and_the_last_prompt_is_kept, ()) {
  EngineCache cache;
  const auto subjects = *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange(2, 30));
  for (const std::uint64_t subject : subjects) {
    const auto own = *rc::gen::inRange<std::uint32_t>(0, 4'000);
    cache.Use(Prompt(subject), own, kCapacity, kNow);
    RC_ASSERT(cache.tokens() <= kCapacity);
    RC_ASSERT(cache.Find(Prompt(subject), 0ms, kNow).tokens == 3'000U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
