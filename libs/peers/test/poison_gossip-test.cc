#include <boost/test/unit_test.hpp>

#include "peers/load_messages.h"
#include "peers/poison_gossip.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{1h};

PoisonUpdate OneEnd() {
  PoisonUpdate news;
  news.crashes.push_back({3, RequestFingerprint(7)});
  return news;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(poison_gossip)

BOOST_AUTO_TEST_CASE(item_is_sent_three_times_within_half_a_second) {
  PoisonGossip gossip;
  gossip.Add(OneEnd(), kStart);
  int sent_count = 0;
  for (TimePoint now = kStart; now < kStart + 2s; now += 1ms) {
    if (!gossip.TakeDue(now).empty()) ++sent_count;
  }
  BOOST_TEST(sent_count == 3);
  BOOST_TEST((gossip.NextDue(kStart + 2s) > kStart + 3s));
}

BOOST_AUTO_TEST_CASE(simultaneous_items_are_batched_and_sent_promptly) {
  PoisonGossip gossip;
  for (int i = 0; i < 5; ++i) gossip.Add(OneEnd(), kStart);
  BOOST_TEST((gossip.NextDue(kStart) <= kStart + 1ms));
  BOOST_TEST(gossip.TakeDue(kStart + 1ms).crashes.size() == 5U);
}

BOOST_AUTO_TEST_CASE(flood_is_bounded_in_datagram_size_and_memory) {
  PoisonGossip gossip;
  for (int i = 0; i < 50'000; ++i) gossip.Add(OneEnd(), kStart);
  const PoisonUpdate due = gossip.TakeDue(kStart + 1ms);
  BOOST_TEST(due.crashes.size() <= PoisonGossip::kMaxItemsPerMessage);
  BOOST_TEST(Encode(DaemonId("d"), due).size() < 60'000U);
}

BOOST_AUTO_TEST_CASE(prompts_of_many_parts_are_bounded_in_datagram_size) {
  PoisonUpdate news;
  CrashSuspect suspect;
  suspect.parts.resize(RequestFeatures::kMaxParts);
  news.suspects.assign(1'000, suspect);
  PoisonGossip gossip;
  gossip.Add(news, kStart);
  const PoisonUpdate due = gossip.TakeDue(kStart + 1ms);
  BOOST_TEST(!due.suspects.empty());
  BOOST_TEST(Encode(DaemonId("d"), due).size() < 60'000U);
}

BOOST_AUTO_TEST_CASE(poison_news_round_trips) {
  PoisonUpdate news = OneEnd();
  news.cleared.emplace_back(8);
  news.quarantined.emplace_back(9);
  news.interruptions.push_back({4, RequestFingerprint(10)});
  news.suspects.push_back(
      {5, RequestFingerprint(11), 12, {RequestFingerprint(13), RequestFingerprint(14)}, true});
  news.survivals.push_back({RequestFingerprint(15), 250ms});
  const std::string bytes = Encode(DaemonId("d"), news);
  const bool same = ValueOr(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(message, DecodePeerMessage(bytes));
        const auto* decoded = std::get_if<PoisonUpdate>(&message);
        return decoded != nullptr && decoded->crashes == news.crashes &&
               decoded->cleared == news.cleared && decoded->quarantined == news.quarantined &&
               decoded->interruptions == news.interruptions && decoded->suspects == news.suspects &&
               decoded->survivals == news.survivals;
      },
      [](const Failure& /*failure*/) { return false; });
  BOOST_TEST(same);
}

BOOST_AUTO_TEST_SUITE_END()
