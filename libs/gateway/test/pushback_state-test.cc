// Tests of backend server pushback received from responses and from peers.

#include "gateway/pushback_state.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "gateway/backend_directory.h"
#include "gateway/fallback_slots.h"
#include "gateway/pushback_registry.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

constexpr BackendHash kBackend = 5;
const TimePoint kStart{1h};

BackendPushback Limit(double per_second) {
  BackendPushback notice;
  notice.limit = RequestRate::FromPerSecond(per_second);
  return notice;
}

BackendPushback Backoff(std::chrono::milliseconds length) {
  BackendPushback notice;
  notice.rest = length;
  return notice;
}

BackendEntry Entry(const std::string& id) {
  BackendEntry entry;
  entry.id = BackendId(id);
  entry.service = ServiceId("s");
  entry.address = id + ":1";
  return entry;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(backend_word)

BOOST_AUTO_TEST_CASE(limit_is_shared_once_and_ends_with_a_response_without_limit) {
  PushbackState word;
  BOOST_TEST(word.TakeNotice(Limit(1.5), kStart, kStart + 10ms));
  BOOST_TEST(!word.TakeNotice(Limit(1.5), kStart + 20ms, kStart + 30ms));
  BOOST_TEST((word.limit() == RequestRate::FromPerSecond(1.5)));
  BOOST_TEST(word.TakeNotice({}, kStart + 40ms, kStart + 50ms));
  BOOST_TEST(!word.limit().has_value());
}

// Guards against reordered responses: one generated before the limit was set must not end it.
BOOST_AUTO_TEST_CASE(response_to_a_request_sent_before_the_limit_does_not_end_it) {
  PushbackState word;
  word.TakeNotice(Limit(1.5), kStart, kStart + 10ms);
  BOOST_TEST(!word.TakeNotice({}, kStart + 5ms, kStart + 400ms));
  BOOST_TEST(word.limit().has_value());
}

BOOST_AUTO_TEST_CASE(malformed_limit_is_ignored) {
  PushbackState word;
  word.TakeNotice(Limit(1.5), kStart, kStart + 10ms);
  BackendPushback unreadable;
  unreadable.limit_unreadable = true;
  BOOST_TEST(!word.TakeNotice(unreadable, kStart + 20ms, kStart + 30ms));
  BOOST_TEST((word.limit() == RequestRate::FromPerSecond(1.5)));
}

BOOST_AUTO_TEST_CASE(newest_update_wins_in_any_order) {
  PushbackState sender;
  sender.TakeNotice(Limit(1.5), kStart, kStart + 10ms);
  const PushbackUpdate first = sender.News(kBackend);
  sender.TakeNotice(Limit(3), kStart + 20ms, kStart + 30ms);
  const PushbackUpdate second = sender.News(kBackend);
  PushbackState receiver;
  BOOST_TEST(!receiver.TakeNews(second, kStart));
  // The sender of the first update has older state.
  BOOST_TEST(receiver.TakeNews(first, kStart));
  BOOST_TEST((receiver.limit() == RequestRate::FromPerSecond(3)));
  BOOST_TEST(!receiver.TakeNews(second, kStart));
}

BOOST_AUTO_TEST_CASE(stricter_limit_wins_for_equal_numbers) {
  const PushbackUpdate high{kBackend, 1, RequestRate::FromPerSecond(3), false, {}};
  const PushbackUpdate low{kBackend, 1, RequestRate::FromPerSecond(2), false, {}};
  for (const auto& order : {std::vector{high, low}, std::vector{low, high}}) {
    PushbackState word;
    for (const PushbackUpdate& update : order) word.TakeNews(update, kStart);
    BOOST_TEST((word.limit() == RequestRate::FromPerSecond(2)));
  }
}

BOOST_AUTO_TEST_CASE(backoff_blocks_until_its_end_and_is_not_shortened) {
  PushbackState word;
  word.TakeNotice(Backoff(3s), kStart, kStart);
  word.TakeNotice(Backoff(200ms), kStart + 1s, kStart + 1s);
  BOOST_TEST(word.Bars(kStart + 2'999ms));
  BOOST_TEST(!word.Bars(kStart + 3s));
  // A back-off applies to this gateway only.
  BOOST_TEST(word.News(kBackend).number == 0U);
}

BOOST_AUTO_TEST_CASE(server_is_deprioritized_while_two_peers_back_off) {
  PushbackState word;
  BOOST_TEST(!word.RecordPeerBackoff(1, kStart + 3s, kStart));
  BOOST_TEST(!word.RecordPeerBackoff(1, kStart + 4s, kStart));
  BOOST_TEST((word.deprioritized_until() <= kStart));
  BOOST_TEST(word.RecordPeerBackoff(2, kStart + 2s, kStart));
  BOOST_TEST(!word.RecordPeerBackoff(3, kStart + 1s, kStart));
  BOOST_TEST((word.deprioritized_until() == kStart + 2s));
  // It is not blocked: a gateway without another server still uses it.
  BOOST_TEST(!word.Bars(kStart));
}

BOOST_AUTO_TEST_CASE(response_without_backoff_ends_deprioritization) {
  PushbackState word;
  for (const std::uint64_t other : {1, 2}) word.RecordPeerBackoff(other, kStart + 3s, kStart);
  // The request was sent before this gateway learned of the back-offs.
  word.TakeNotice({}, kStart - 10ms, kStart + 10ms);
  BOOST_TEST((word.deprioritized_until() == kStart + 3s));
  word.TakeNotice({}, kStart + 20ms, kStart + 30ms);
  BOOST_TEST((word.deprioritized_until() <= kStart));
}

/// Registry with one backend server.
struct RegistryFixture {
  BackendDirectory directory;
  PushbackRegistry registry{directory};
  BackendPtr backend;

  RegistryFixture() {
    directory.Put(Entry("x"));
    backend = directory.Find(BackendId("x"));
  }

  PushbackUpdateList RejectAt(TimePoint at) {
    registry.Note(*backend, Backoff(3s), at, at);
    return registry.TakeNews();
  }
};

BOOST_FIXTURE_TEST_CASE(backoff_is_shared_with_its_remaining_time, RegistryFixture) {
  const PushbackUpdateList update = RejectAt(kStart);
  BOOST_REQUIRE(update.items.size() == 1U);
  BOOST_TEST((update.items.front().rest_left == 3'000ms));
  BOOST_TEST((registry.Refreshed(update, kStart + 500ms).items.front().rest_left == 2'500ms));
  BOOST_TEST(!registry.Refreshed(update, kStart + 3s).items.front().rest_left.has_value());
}

BOOST_FIXTURE_TEST_CASE(backoff_known_from_two_peers_is_not_shared, RegistryFixture) {
  PushbackUpdate update = backend->notice_state.News(HashOf(*backend));
  update.rest_left = 60s;
  for (const std::uint64_t other : {1, 2}) registry.Take({{update}}, other, kStart);
  BOOST_TEST(IsAvoided(*backend, kStart));
  BOOST_TEST(RejectAt(kStart + 1s).empty());
  // This gateway tries again after 5 s, however long the peers' back-offs are.
  BOOST_TEST(!IsAvoided(*backend, kStart + 5s));
}

BOOST_AUTO_TEST_CASE(denied_permit_blocks_until_retry_time_or_limit_change) {
  PushbackState word;
  word.TakeNotice(Limit(1.5), kStart, kStart);
  word.BlockUntilPermit(kStart + 800ms);
  BOOST_TEST(word.Bars(kStart + 799ms));
  BOOST_TEST(!word.Bars(kStart + 800ms));
  BOOST_TEST(word.TakeNotice({}, kStart + 100ms, kStart + 110ms));
  BOOST_TEST(!word.Bars(kStart + 120ms));
}

BOOST_AUTO_TEST_CASE(shutdown_announcement_lasts_until_the_process_ends) {
  BackendDirectory directory;
  BackendEntry entry = Entry("x");
  entry.started = StartStamp(5);
  directory.Put(entry);
  BackendPushback leaving;
  leaving.leaving = true;
  const BackendPtr backend = directory.Find(BackendId("x"));
  BOOST_TEST(backend->notice_state.TakeNotice(leaving, kStart, kStart));
  backend->notice_state.TakeNotice({}, kStart + 1s, kStart + 1s);
  BOOST_TEST(directory.Usable(ServiceId("s"), kStart).empty());
  // Its registration expires and returns, as after a store outage.
  directory.Remove(BackendId("x"), Duration::zero(), kStart);
  directory.Put(entry);
  BOOST_TEST(directory.Usable(ServiceId("s"), kStart).empty());
  // Another process at the same address, and a later incarnation with the same id.
  BackendEntry other = Entry("y");
  other.address = "x:1";
  directory.Put(other);
  BOOST_TEST(directory.Usable(ServiceId("s"), kStart).size() == 1U);
  entry.started = StartStamp(9);
  directory.Put(entry);
  BOOST_TEST(directory.Usable(ServiceId("s"), kStart).size() == 2U);
}

BOOST_AUTO_TEST_CASE(limit_that_changes_in_each_response_is_shared_a_few_times_per_second) {
  BackendDirectory directory;
  directory.Put(Entry("x"));
  const BackendPtr backend = directory.Find(BackendId("x"));
  PushbackRegistry registry(directory);
  int shared = 0;
  for (int i = 0; i < 1'000; ++i) {
    const TimePoint sent = kStart + i * 1ms;
    registry.Note(*backend, Limit(1 + i / 100.0), sent, sent + 500us);
    const PushbackUpdateList update = registry.TakeNews();
    shared += static_cast<int>(update.items.size());
  }
  BOOST_TEST(shared <= 3);
  // A repeated update carries the latest state.
  const PushbackUpdateList again =
      registry.Refreshed({{{HashOf(*backend), 1, {}, false, {}}}}, kStart + 1s);
  BOOST_REQUIRE(again.items.size() == 1U);
  BOOST_TEST((again.items.front().limit == RequestRate::FromPerSecond(1 + 999 / 100.0)));
}

// Without a quota holder, gateways that cannot reach each other together stay within a fraction of
// the limit, whatever their load.
BOOST_AUTO_TEST_CASE(fallback_requests_stay_within_the_reserved_fraction) {
  constexpr int kSlots = 5'000;
  constexpr int kWindow = 5;  // slots that a 4 s window can overlap
  for (const std::uint32_t gateways : {8U, 90U, 300U}) {
    for (const double limit : {0.2, 1.2, 12.0}) {
      std::vector<int> sent(kSlots);
      for (std::uint64_t gateway = 0; gateway < gateways; ++gateway) {
        PushbackState word;
        word.TakeNotice(Limit(limit), kStart, kStart);
        for (int slot = 0; slot < kSlots; ++slot) {
          const TimePoint now = kStart + slot * 1s;
          // At most one request per slot, however many are pending.
          if (word.TryUseFallbackSlot(kBackend, gateway, gateways, now)) ++sent[slot];
          BOOST_REQUIRE(!word.TryUseFallbackSlot(kBackend, gateway, gateways, now + 1ms));
        }
      }
      int most = 0;
      int all = 0;
      for (int slot = 0; slot + kWindow < kSlots; ++slot) {
        int sum = 0;
        for (int i = 0; i < kWindow; ++i) sum += sent[slot + i];
        most = std::max(most, sum);
        all += sent[slot];
      }
      BOOST_TEST_CONTEXT(gateways << " gateways, limit " << limit) {
        BOOST_TEST(most <= 1.5 * 4 * limit + 5);
        const double fraction = all / (kSlots * limit);
        BOOST_TEST(fraction > 0.8 * std::min(FallbackSlots::kPart, gateways / limit));
        BOOST_TEST(fraction < 1.2 * FallbackSlots::kPart);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
