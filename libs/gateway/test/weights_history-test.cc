#include "gateway/weights_history.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const ModelId kModel("m");
const TimePoint kStart{1h};

WeightsNumber N(std::uint64_t number) { return WeightsNumber(number); }

}  // namespace

BOOST_AUTO_TEST_SUITE(weights_history)

BOOST_AUTO_TEST_CASE(newest_weights_are_never_superseded) {
  WeightsHistory history;
  BOOST_TEST(history.Record(kModel, N(2), kStart));
  BOOST_TEST(!history.SupersededSince(kModel, N(2)).has_value());
  BOOST_TEST((history.SupersededSince(kModel, N(1)).value() == kStart));
}

// Guards against an announcement resetting the age of weights that an earlier one superseded.
BOOST_AUTO_TEST_CASE(later_announcement_does_not_reset_an_earlier_supersession) {
  WeightsHistory history;
  history.Record(kModel, N(2), kStart);
  history.Record(kModel, N(3), kStart + 5s);
  BOOST_TEST((history.SupersededSince(kModel, N(1)).value() == kStart));
  BOOST_TEST((history.SupersededSince(kModel, N(2)).value() == kStart + 5s));
}

// A restarted gateway sees only the newest number at first and learns of earlier announcements from
// its peers.
BOOST_AUTO_TEST_CASE(announcement_times_from_peers_correct_those_recorded_at_start) {
  WeightsHistory history;
  history.Record(kModel, N(3), kStart + 20s);
  BOOST_TEST(!history.Record(kModel, N(2), kStart));
  BOOST_TEST((history.SupersededSince(kModel, N(1)).value() == kStart));
  history.Record(kModel, N(3), kStart + 14s);
  BOOST_TEST((history.SupersededSince(kModel, N(2)).value() == kStart + 14s));
}

// Guards against all gateways adopting the time that one of them assumed at its start, which made
// them refuse requests 3 s too early.
BOOST_AUTO_TEST_CASE(known_time_replaces_an_assumed_one_and_not_the_reverse) {
  WeightsHistory history;
  history.Record(kModel, N(3), kStart - 5s, true);
  BOOST_TEST((history.SupersededSince(kModel, N(2)).value() == kStart - 5s));
  history.Record(kModel, N(3), kStart);
  BOOST_TEST((history.SupersededSince(kModel, N(2)).value() == kStart));
  history.Record(kModel, N(3), kStart - 9s, true);
  BOOST_TEST((history.SupersededSince(kModel, N(2)).value() == kStart));
}

RC_BOOST_PROP(result_does_not_depend_on_the_order_of_announcements, ()) {
  const auto announcements = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(1, 8), rc::gen::inRange(0, 60)));
  WeightsHistory forward;
  WeightsHistory backward;
  for (const auto& [number, second] : announcements) {
    forward.Record(kModel, N(static_cast<std::uint64_t>(number)),
                   kStart + std::chrono::seconds(second));
  }
  for (auto at = announcements.rbegin(); at != announcements.rend(); ++at) {
    backward.Record(kModel, N(static_cast<std::uint64_t>(at->first)),
                    kStart + std::chrono::seconds(at->second));
  }
  for (std::uint64_t number = 0; number < 9; ++number) {
    RC_ASSERT(forward.SupersededSince(kModel, N(number)) ==
              backward.SupersededSince(kModel, N(number)));
  }
}

BOOST_AUTO_TEST_SUITE_END()
