// The arithmetic of shares: whatever is taken and put back, no stretch of time sees more
// than rate and burst allow.

#include "quota/token_bucket.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

namespace ridgehold {
namespace {

using std::chrono::seconds;

const TimePoint kStart{seconds(1'000)};

BOOST_AUTO_TEST_SUITE(token_bucket)

BOOST_AUTO_TEST_CASE(one_share_of_a_small_quota_is_exact) {
  // 10 requests a second in 4 shares: 2.5 a second each.
  const QuotaScale scale(4);
  TokenBucket bucket({1, 10, 10}, kStart);
  BOOST_TEST(!bucket.Take(1, kStart).has_value());
  BOOST_TEST(bucket.TakeUpTo(scale.Of(100), kStart + seconds(1)).parts == scale.Of(5) / 2);
  BOOST_TEST(bucket.Level(kStart + seconds(1'000'000)) == scale.Of(10) / 4);
}

BOOST_AUTO_TEST_CASE(a_lowered_burst_binds_at_once) {
  const QuotaScale scale(1);
  TokenBucket bucket({1, 100, 100}, kStart);
  BOOST_TEST(bucket.Level(kStart + seconds(10)) == scale.Of(100));
  bucket.SetTerms({2, 1, 5}, kStart + seconds(10));
  BOOST_TEST(bucket.Level(kStart + seconds(10)) == scale.Of(5));
}

BOOST_AUTO_TEST_CASE(what_is_put_back_does_not_make_up_for_a_full_bucket) {
  // Without the taking it would have been full all the time, and have lost the 50 ms.
  const QuotaScale scale(1);
  TokenBucket bucket({1, 100, 100}, kStart);
  const TimePoint full = kStart + seconds(10);
  const QuotaTaken unused = bucket.TakeUpTo(scale.Of(100), full);
  const TimePoint later = full + std::chrono::milliseconds(50);
  BOOST_TEST(bucket.TakeUpTo(scale.Of(100), later).parts == scale.Of(5));
  bucket.PutBack(unused, later);
  BOOST_TEST(bucket.Level(later) == scale.Of(95));
}

RC_BOOST_PROP(no_stretch_of_time_sees_more_than_allowed, ()) {
  const auto rate = *rc::gen::inRange<std::uint64_t>(1, 50);
  const auto burst = *rc::gen::inRange<std::uint64_t>(1, 100);
  const QuotaScale scale(1);
  TokenBucket bucket({1, rate, burst}, kStart);
  struct Used {
    TimePoint at;
    QuotaParts parts;
  };
  std::vector<Used> used;
  std::vector<QuotaTaken> unused;
  TimePoint now = kStart;
  for (int i = 0; i < 60; ++i) {
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 700));
    const QuotaTaken taken =
        bucket.TakeUpTo(scale.Of(*rc::gen::inRange<std::uint64_t>(1, 60)), now);
    if (*rc::gen::inRange(0, 3) == 0) {
      unused.push_back(taken);
    } else {
      used.push_back({now, taken.parts});
    }
    if (unused.empty() || *rc::gen::inRange(0, 4) != 0) continue;
    const auto returned = unused.begin() + *rc::gen::inRange<std::ptrdiff_t>(
                                               0, static_cast<std::ptrdiff_t>(unused.size()));
    bucket.PutBack(*returned, now);
    unused.erase(returned);
  }
  for (std::size_t first = 0; first < used.size(); ++first) {
    QuotaParts sum = 0;
    for (std::size_t last = first; last < used.size(); ++last) {
      sum += used[last].parts;
      const auto length = std::chrono::duration_cast<Duration>(used[last].at - used[first].at);
      RC_ASSERT(sum <= static_cast<QuotaParts>(rate) * length.count() + scale.Of(burst));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ridgehold
