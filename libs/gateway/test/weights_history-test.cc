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

BOOST_AUTO_TEST_SUITE(named_weights)

BOOST_AUTO_TEST_CASE(newest_is_never_outdated) {
  WeightsHistory named;
  BOOST_TEST(named.Record(kModel, N(2), kStart));
  BOOST_TEST(!named.SupersededSince(kModel, N(2)).has_value());
  BOOST_TEST((named.SupersededSince(kModel, N(1)).value() == kStart));
}

// Found on quiet-1 of both sites: each naming had reset the clock of the one before.
BOOST_AUTO_TEST_CASE(later_naming_does_not_renew_what_an_earlier_one_outdated) {
  WeightsHistory named;
  named.Record(kModel, N(2), kStart);
  named.Record(kModel, N(3), kStart + 5s);
  BOOST_TEST((named.SupersededSince(kModel, N(1)).value() == kStart));
  BOOST_TEST((named.SupersededSince(kModel, N(2)).value() == kStart + 5s));
}

// Found on trouble-2 of tbw-depots: a restarted gateway saw the newest number only.
BOOST_AUTO_TEST_CASE(peers_ages_correct_what_a_start_has_assumed) {
  WeightsHistory named;
  named.Record(kModel, N(3), kStart + 20s);
  BOOST_TEST(!named.Record(kModel, N(2), kStart));
  BOOST_TEST((named.SupersededSince(kModel, N(1)).value() == kStart));
  named.Record(kModel, N(3), kStart + 14s);
  BOOST_TEST((named.SupersededSince(kModel, N(2)).value() == kStart + 14s));
}

// Found in an incident of tbw-depots: what one start assumed was taken by all
// gateways, and requests were refused 3 s too early.
BOOST_AUTO_TEST_CASE(assumed_moment_gives_way_to_a_known_one_and_never_replaces_it) {
  WeightsHistory named;
  named.Record(kModel, N(3), kStart - 5s, true);
  BOOST_TEST((named.SupersededSince(kModel, N(2)).value() == kStart - 5s));
  named.Record(kModel, N(3), kStart);
  BOOST_TEST((named.SupersededSince(kModel, N(2)).value() == kStart));
  named.Record(kModel, N(3), kStart - 9s, true);
  BOOST_TEST((named.SupersededSince(kModel, N(2)).value() == kStart));
}

RC_BOOST_PROP(order_of_tellings_does_not_matter, ()) {
  const auto tellings = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(1, 8), rc::gen::inRange(0, 60)));
  WeightsHistory forward;
  WeightsHistory backward;
  for (const auto& [number, second] : tellings) {
    forward.Record(kModel, N(static_cast<std::uint64_t>(number)),
                   kStart + std::chrono::seconds(second));
  }
  for (auto at = tellings.rbegin(); at != tellings.rend(); ++at) {
    backward.Record(kModel, N(static_cast<std::uint64_t>(at->first)),
                    kStart + std::chrono::seconds(at->second));
  }
  for (std::uint64_t number = 0; number < 9; ++number) {
    RC_ASSERT(forward.SupersededSince(kModel, N(number)) ==
              backward.SupersededSince(kModel, N(number)));
  }
}

BOOST_AUTO_TEST_SUITE_END()
