// Invariant of a share: whatever is consumed and restored, no interval exceeds rate and burst.

#include "quota/token_bucket.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

namespace ridgehold {
namespace {

using std::chrono::seconds;

const TimePoint kStart{seconds(1'000)};

/// Equal bursting and steady limits.
QuotaLimits SingleRate(std::uint64_t rate, std::uint64_t burst) {
  return {1, {rate, burst}, {rate, burst}};
}

BOOST_AUTO_TEST_SUITE(token_bucket)

BOOST_AUTO_TEST_CASE(one_share_of_a_small_quota_is_exact) {
  // 10 requests per second in 4 shares: 2.5 per second each.
  const QuotaScale scale(4);
  TokenBucket bucket(SingleRate(10, 10), kStart);
  BOOST_TEST(!bucket.TryConsume(1, kStart).has_value());
  BOOST_TEST(bucket.ConsumeUpTo(scale.FromTokens(100), kStart + seconds(1)).amount ==
             scale.FromTokens(5) / 2);
  BOOST_TEST(bucket.Available(kStart + seconds(1'000'000)) == scale.FromTokens(10) / 4);
}

BOOST_AUTO_TEST_CASE(lowered_burst_applies_at_once) {
  const QuotaScale scale(1);
  TokenBucket bucket(SingleRate(100, 100), kStart);
  BOOST_TEST(bucket.Available(kStart + seconds(10)) == scale.FromTokens(100));
  bucket.SetLimits(SingleRate(1, 5), kStart + seconds(10));
  BOOST_TEST(bucket.Available(kStart + seconds(10)) == scale.FromTokens(5));
}

BOOST_AUTO_TEST_CASE(sustained_traffic_gets_what_a_window_allows) {
  // The quota allows 8 * 100 + 100 = 900 tokens in 8 s; with 10 % and 50 tokens on top, 1,040.
  const WorkspaceQuota quota{QuotaUnit::kRequests, 100, 100, 0};
  const QuotaLimits limits = EffectiveLimits(quota, {seconds(8), 0.1, 50, 1.0}, 1);
  const QuotaScale scale(1);
  TokenBucket bucket(limits, kStart);
  TimePoint now = kStart + seconds(60);
  QuotaAmount last_window = 0;
  for (int i = 0; i < 1'600; ++i) {
    now += std::chrono::milliseconds(10);
    const QuotaAmount taken = bucket.ConsumeUpTo(scale.FromTokens(1'000), now).amount;
    if (i >= 800) last_window += taken;
  }
  BOOST_TEST(last_window <= scale.FromTokens(1'040));
  BOOST_TEST(last_window >= scale.FromTokens(880));
}

BOOST_AUTO_TEST_CASE(new_holder_does_not_grant_a_second_burst) {
  const QuotaLimits limits{1, {100, 100}, {110, 20}};
  const QuotaScale scale(1);
  const TimePoint handover = kStart + seconds(60);
  TokenBucket before(limits, kStart);
  TokenBucket after(limits, handover);
  const QuotaAmount first = before.ConsumeUpTo(scale.FromTokens(1'000), handover).amount;
  QuotaAmount then = 0;
  for (int i = 1; i <= 80; ++i) {
    then +=
        after.ConsumeUpTo(scale.FromTokens(1'000), handover + i * std::chrono::milliseconds(100))
            .amount;
  }
  BOOST_TEST(first == scale.FromTokens(100));
  BOOST_TEST(first + then <= scale.FromTokens(900));
  BOOST_TEST(then == scale.FromTokens(800));
}

BOOST_AUTO_TEST_CASE(restored_amount_does_not_exceed_a_full_bucket) {
  // Had nothing been consumed, the bucket would have stayed full and discarded the 50 ms of refill,
  // so Restore() yields 95 tokens, not 100.
  const QuotaScale scale(1);
  TokenBucket bucket(SingleRate(100, 100), kStart);
  const TimePoint full = kStart + seconds(10);
  const ConsumedTokens unused = bucket.ConsumeUpTo(scale.FromTokens(100), full);
  const TimePoint later = full + std::chrono::milliseconds(50);
  BOOST_TEST(bucket.ConsumeUpTo(scale.FromTokens(100), later).amount == scale.FromTokens(5));
  bucket.Restore(unused, later);
  BOOST_TEST(bucket.Available(later) == scale.FromTokens(95));
}

RC_BOOST_PROP(no_interval_exceeds_the_limits, ()) {
  const auto rate = *rc::gen::inRange<std::uint64_t>(1, 50);
  const auto burst = *rc::gen::inRange<std::uint64_t>(1, 100);
  const auto steady_rate = *rc::gen::inRange<std::uint64_t>(rate, 90);
  const auto steady_burst = *rc::gen::inRange<std::uint64_t>(1, burst + 1);
  const QuotaScale scale(1);
  TokenBucket bucket({1, {rate, burst}, {steady_rate, steady_burst}}, kStart);
  struct Used {
    TimePoint at;
    QuotaAmount amount;
  };
  std::vector<Used> used;
  std::vector<ConsumedTokens> unused;
  TimePoint now = kStart;
  for (int i = 0; i < 60; ++i) {
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 700));
    const ConsumedTokens taken =
        bucket.ConsumeUpTo(scale.FromTokens(*rc::gen::inRange<std::uint64_t>(1, 60)), now);
    if (*rc::gen::inRange(0, 3) == 0) {
      unused.push_back(taken);
    } else {
      used.push_back({now, taken.amount});
    }
    if (unused.empty() || *rc::gen::inRange(0, 4) != 0) continue;
    const auto returned = unused.begin() + *rc::gen::inRange<std::ptrdiff_t>(
                                               0, static_cast<std::ptrdiff_t>(unused.size()));
    bucket.Restore(*returned, now);
    unused.erase(returned);
  }
  for (std::size_t first = 0; first < used.size(); ++first) {
    QuotaAmount sum = 0;
    for (std::size_t last = first; last < used.size(); ++last) {
      sum += used[last].amount;
      const auto length = std::chrono::duration_cast<Duration>(used[last].at - used[first].at);
      const auto allowed = [&](std::uint64_t each_s, std::uint64_t at_once) {
        return static_cast<QuotaAmount>(each_s) * length.count() + scale.FromTokens(at_once);
      };
      RC_ASSERT(sum <= std::max(allowed(rate, burst), allowed(steady_rate, steady_burst)));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ridgehold
