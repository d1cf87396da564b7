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
  notice.backoff = length;
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
  PushbackState state;
  BOOST_TEST(state.ApplyPushback(Limit(1.5), kStart, kStart + 10ms));
  BOOST_TEST(!state.ApplyPushback(Limit(1.5), kStart + 20ms, kStart + 30ms));
  BOOST_TEST((state.limit() == RequestRate::FromPerSecond(1.5)));
  BOOST_TEST(state.ApplyPushback({}, kStart + 40ms, kStart + 50ms));
  BOOST_TEST(!state.limit().has_value());
}

// Guards against reordered responses: one generated before the limit was set must not end it.
BOOST_AUTO_TEST_CASE(response_to_a_request_sent_before_the_limit_does_not_end_it) {
  PushbackState state;
  state.ApplyPushback(Limit(1.5), kStart, kStart + 10ms);
  BOOST_TEST(!state.ApplyPushback({}, kStart + 5ms, kStart + 400ms));
  BOOST_TEST(state.limit().has_value());
}

BOOST_AUTO_TEST_CASE(malformed_limit_is_ignored) {
  PushbackState state;
  state.ApplyPushback(Limit(1.5), kStart, kStart + 10ms);
  BackendPushback malformed;
  malformed.limit_malformed = true;
  BOOST_TEST(!state.ApplyPushback(malformed, kStart + 20ms, kStart + 30ms));
  BOOST_TEST((state.limit() == RequestRate::FromPerSecond(1.5)));
}

BOOST_AUTO_TEST_CASE(newest_update_wins_in_any_order) {
  PushbackState sender;
  sender.ApplyPushback(Limit(1.5), kStart, kStart + 10ms);
  const PushbackUpdate first = sender.ToUpdate(kBackend);
  sender.ApplyPushback(Limit(3), kStart + 20ms, kStart + 30ms);
  const PushbackUpdate second = sender.ToUpdate(kBackend);
  PushbackState receiver;
  BOOST_TEST(!receiver.ApplyUpdate(second, kStart));
  // The sender of the first update has older state.
  BOOST_TEST(receiver.ApplyUpdate(first, kStart));
  BOOST_TEST((receiver.limit() == RequestRate::FromPerSecond(3)));
  BOOST_TEST(!receiver.ApplyUpdate(second, kStart));
}

BOOST_AUTO_TEST_CASE(stricter_limit_wins_for_equal_numbers) {
  const PushbackUpdate high{kBackend, 1, RequestRate::FromPerSecond(3), false, {}};
  const PushbackUpdate low{kBackend, 1, RequestRate::FromPerSecond(2), false, {}};
  for (const auto& order : {std::vector{high, low}, std::vector{low, high}}) {
    PushbackState state;
    for (const PushbackUpdate& update : order) state.ApplyUpdate(update, kStart);
    BOOST_TEST((state.limit() == RequestRate::FromPerSecond(2)));
  }
}

BOOST_AUTO_TEST_CASE(backoff_blocks_until_its_end_and_is_not_shortened) {
  PushbackState state;
  state.ApplyPushback(Backoff(3s), kStart, kStart);
  state.ApplyPushback(Backoff(200ms), kStart + 1s, kStart + 1s);
  BOOST_TEST(state.BlocksRequests(kStart + 2'999ms));
  BOOST_TEST(!state.BlocksRequests(kStart + 3s));
  // A back-off applies to this gateway only.
  BOOST_TEST(state.ToUpdate(kBackend).number == 0U);
}

BOOST_AUTO_TEST_CASE(server_is_deprioritized_while_two_peers_back_off) {
  PushbackState state;
  BOOST_TEST(!state.RecordPeerBackoff(1, kStart + 3s, kStart));
  BOOST_TEST(!state.RecordPeerBackoff(1, kStart + 4s, kStart));
  BOOST_TEST((state.deprioritized_until() <= kStart));
  BOOST_TEST(state.RecordPeerBackoff(2, kStart + 2s, kStart));
  BOOST_TEST(!state.RecordPeerBackoff(3, kStart + 1s, kStart));
  BOOST_TEST((state.deprioritized_until() == kStart + 2s));
  // It is not blocked: a gateway without another server still uses it.
  BOOST_TEST(!state.BlocksRequests(kStart));
}

BOOST_AUTO_TEST_CASE(response_without_backoff_ends_deprioritization) {
  PushbackState state;
  for (const std::uint64_t other : {1, 2}) state.RecordPeerBackoff(other, kStart + 3s, kStart);
  // The request was sent before this gateway learned of the back-offs.
  state.ApplyPushback({}, kStart - 10ms, kStart + 10ms);
  BOOST_TEST((state.deprioritized_until() == kStart + 3s));
  state.ApplyPushback({}, kStart + 20ms, kStart + 30ms);
  BOOST_TEST((state.deprioritized_until() <= kStart));
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
    registry.ApplyPushback(*backend, Backoff(3s), at, at);
    return registry.TakeUpdates();
  }
};

BOOST_FIXTURE_TEST_CASE(backoff_is_shared_with_its_remaining_time, RegistryFixture) {
  const PushbackUpdateList update = RejectAt(kStart);
  BOOST_REQUIRE(update.items.size() == 1U);
  BOOST_TEST((update.items.front().backoff_left == 3'000ms));
  BOOST_TEST(
      (registry.WithCurrentState(update, kStart + 500ms).items.front().backoff_left == 2'500ms));
  BOOST_TEST(
      !registry.WithCurrentState(update, kStart + 3s).items.front().backoff_left.has_value());
}

BOOST_FIXTURE_TEST_CASE(backoff_known_from_two_peers_is_not_shared, RegistryFixture) {
  PushbackUpdate update = backend->notice_state.ToUpdate(HashOf(*backend));
  update.backoff_left = 60s;
  for (const std::uint64_t other : {1, 2}) registry.ApplyUpdates({{update}}, other, kStart);
  BOOST_TEST(IsAvoided(*backend, kStart));
  BOOST_TEST(RejectAt(kStart + 1s).empty());
  // This gateway tries again after 5 s, however long the peers' back-offs are.
  BOOST_TEST(!IsAvoided(*backend, kStart + 5s));
}

BOOST_AUTO_TEST_CASE(denied_permit_blocks_until_retry_time_or_limit_change) {
  PushbackState state;
  state.ApplyPushback(Limit(1.5), kStart, kStart);
  state.BlockUntilPermit(kStart + 800ms);
  BOOST_TEST(state.BlocksRequests(kStart + 799ms));
  BOOST_TEST(!state.BlocksRequests(kStart + 800ms));
  BOOST_TEST(state.ApplyPushback({}, kStart + 100ms, kStart + 110ms));
  BOOST_TEST(!state.BlocksRequests(kStart + 120ms));
}

BOOST_AUTO_TEST_CASE(shutdown_announcement_lasts_until_the_process_ends) {
  BackendDirectory directory;
  BackendEntry entry = Entry("x");
  entry.started = StartStamp(5);
  directory.Put(entry);
  BackendPushback leaving;
  leaving.leaving = true;
  const BackendPtr backend = directory.Find(BackendId("x"));
  BOOST_TEST(backend->notice_state.ApplyPushback(leaving, kStart, kStart));
  backend->notice_state.ApplyPushback({}, kStart + 1s, kStart + 1s);
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
  const auto usable = directory.Usable(ServiceId("s"), kStart);
  BOOST_REQUIRE(usable.size() == 1U);
  BOOST_TEST((usable[0]->entry.started == StartStamp(9)));
}

BOOST_AUTO_TEST_CASE(limit_that_changes_in_each_response_is_shared_a_few_times_per_second) {
  BackendDirectory directory;
  directory.Put(Entry("x"));
  const BackendPtr backend = directory.Find(BackendId("x"));
  PushbackRegistry registry(directory);
  int shared = 0;
  for (int i = 0; i < 1'000; ++i) {
    const TimePoint sent = kStart + i * 1ms;
    registry.ApplyPushback(*backend, Limit(1 + i / 100.0), sent, sent + 500us);
    const PushbackUpdateList update = registry.TakeUpdates();
    shared += static_cast<int>(update.items.size());
  }
  BOOST_TEST(shared <= 3);
  // A repeated update carries the latest state.
  const PushbackUpdateList again =
      registry.WithCurrentState({{{HashOf(*backend), 1, {}, false, {}}}}, kStart + 1s);
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
        PushbackState state;
        state.ApplyPushback(Limit(limit), kStart, kStart);
        for (int slot = 0; slot < kSlots; ++slot) {
          const TimePoint now = kStart + slot * 1s;
          // At most one request per slot, however many are pending.
          if (state.TryUseFallbackSlot(kBackend, gateway, gateways, now)) ++sent[slot];
          BOOST_REQUIRE(!state.TryUseFallbackSlot(kBackend, gateway, gateways, now + 1ms));
        }
      }
      int max_sum = 0;
      int total = 0;
      for (int slot = 0; slot + kWindow < kSlots; ++slot) {
        int sum = 0;
        for (int i = 0; i < kWindow; ++i) sum += sent[slot + i];
        max_sum = std::max(max_sum, sum);
        total += sent[slot];
      }
      BOOST_TEST_CONTEXT(gateways << " gateways, limit " << limit) {
        BOOST_TEST(max_sum <= 1.5 * 4 * limit + 5);
        const double fraction = total / (kSlots * limit);
        BOOST_TEST(fraction > 0.8 * std::min(FallbackSlots::kLimitFraction, gateways / limit));
        BOOST_TEST(fraction < 1.2 * FallbackSlots::kLimitFraction);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
