#include <boost/test/unit_test.hpp>
#include <set>

#include "rejection/fragile_services.h"
#include "rejection/pause_turn.h"
#include "rejection/room_estimate.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{100s};
constexpr std::uint32_t kSlots = 64;

}  // namespace

BOOST_AUTO_TEST_SUITE(rejection)

BOOST_AUTO_TEST_CASE(service_is_fragile_until_its_servers_stop_saying_so) {
  FragileServices services;
  const ServiceId service("s");
  BOOST_TEST(!services.LimitOf(service, kNow));
  BOOST_TEST(services.Record(service, RejectionLimit(5), kNow));
  BOOST_TEST(!services.Record(service, RejectionLimit(6), kNow + 1s));
  BOOST_TEST(services.LimitOf(service, kNow + 3s)->value() == 6);
  BOOST_TEST(!services.LimitOf(service, kNow + 4s));
  BOOST_TEST(!services.LimitOf(ServiceId("other"), kNow));
}

BOOST_AUTO_TEST_CASE(requests_are_kept_within_the_slots) {
  const RoomEstimate room;
  BOOST_TEST(room.MayTake(kSlots - 1, kSlots, kNow));
  BOOST_TEST(!room.MayTake(kSlots, kSlots, kNow));
}

// Guards against more rejections by requests that follow the first one.
BOOST_AUTO_TEST_CASE(rejection_pauses_all_requests_for_a_part_of_a_second) {
  RoomEstimate few;
  few.RecordRejection(RejectionLimit(3), 20, kNow);
  BOOST_TEST(!few.MayTake(0, kSlots, kNow + 999ms));
  BOOST_TEST(few.MayTake(0, kSlots, kNow + 1s));
  RoomEstimate many;
  many.RecordRejection(RejectionLimit(20), 20, kNow);
  BOOST_TEST(!many.MayTake(0, kSlots, kNow + 99ms));
  BOOST_TEST(many.MayTake(0, kSlots, kNow + 100ms));
}

// Guards against more rejections than a server bears because all gateways send when a pause ends.
BOOST_AUTO_TEST_CASE(gateways_send_one_after_another_when_a_pause_ends) {
  constexpr std::uint32_t kGateways = 8;
  constexpr std::chrono::milliseconds kPause{500};
  std::set<Duration> turns;
  for (std::uint64_t gateway = 0; gateway < kGateways; ++gateway) {
    const Duration turn = TurnAfterPause(gateway, 7, kGateways, kPause);
    BOOST_TEST((turn >= Duration::zero() && turn < kPause / 2));
    turns.insert(turn);
  }
  BOOST_TEST(turns.size() == kGateways);
  BOOST_TEST((*turns.rbegin() - *turns.begin() >= 20ms));
  BOOST_TEST((TurnAfterPause(1, 7, 1'000, 100ms) < 50ms));
  BOOST_TEST((TurnAfterPause(1, 7, kGateways, kPause) != TurnAfterPause(1, 8, kGateways, kPause)));
}

BOOST_AUTO_TEST_CASE(room_shrinks_after_a_rejection_and_grows_slowly) {
  RoomEstimate room;
  room.RecordRejection(RejectionLimit(3), 20, kNow);
  BOOST_TEST(!room.MayTake(10, kSlots, kNow + 1s));
  BOOST_TEST(room.MayTake(9, kSlots, kNow + 1s));
  BOOST_TEST(room.MayTake(11, kSlots, kNow + 5s));
  BOOST_TEST(!room.MayTake(kSlots, kSlots, kNow + 1h));
}

BOOST_AUTO_TEST_CASE(server_always_has_room_for_one_request) {
  RoomEstimate room;
  for (int i = 0; i < 10; ++i) room.RecordRejection(RejectionLimit(0), 0, kNow);
  BOOST_TEST(room.MayTake(0, kSlots, kNow + 1s));
  BOOST_TEST(RoomEstimate().MayTake(0, 0, kNow));
}

// Guards against gateways that keep sending because only a peer was rejected.
BOOST_AUTO_TEST_CASE(update_of_a_peer_has_the_same_effect) {
  RoomEstimate own;
  own.RecordRejection(RejectionLimit(3), 20, kNow);
  const auto update = own.ToUpdate(kNow + 100ms);
  BOOST_REQUIRE(update);
  RoomEstimate other;
  other.Apply(*update, kNow + 110ms);
  BOOST_TEST(!other.MayTake(0, kSlots, kNow + 1s));
  BOOST_TEST(other.MayTake(9, kSlots, kNow + 1'020ms));
  BOOST_TEST(!other.MayTake(11, kSlots, kNow + 1'020ms));
  BOOST_TEST(!own.ToUpdate(kNow + 1s));
}

// Guards against a peer whose message blocks a server for long.
BOOST_AUTO_TEST_CASE(pause_that_a_peer_reports_is_bounded) {
  RoomEstimate room;
  room.Apply({RejectionLimit(3), 5, 1h}, kNow);
  BOOST_TEST(room.MayTake(0, kSlots, kNow + 1s));
}

BOOST_AUTO_TEST_SUITE_END()
