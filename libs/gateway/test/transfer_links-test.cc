#include "gateway/transfer_links.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{1h};
constexpr LinkHash kLink = 7;

}  // namespace

BOOST_AUTO_TEST_SUITE(transfer_links)

BOOST_AUTO_TEST_CASE(transfers_queue_behind_earlier_ones) {
  TransferLinks links;
  BOOST_TEST((links.QueueDelay(kLink, kNow) == 0ms));
  links.Reserve(kLink, 46ms, kNow);
  links.Reserve(kLink, 92ms, kNow + 10ms);
  BOOST_TEST((links.QueueDelay(kLink, kNow + 10ms) == 128ms));
  BOOST_TEST((links.QueueDelay(kLink, kNow + 200ms) == 0ms));
}

BOOST_AUTO_TEST_CASE(links_are_independent) {
  TransferLinks links;
  links.Reserve(kLink, 1s, kNow);
  BOOST_TEST((links.QueueDelay(kLink + 1, kNow) == 0ms));
}

RC_BOOST_PROP(arbitrary_durations_never_block_a_link_forever, ()) {
  TransferLinks links;
  const auto durations = *rc::gen::container<std::vector<std::int64_t>>(
      rc::gen::inRange<std::int64_t>(-5'000'000, 5'000'000));
  for (const std::int64_t duration : durations) links.Reserve(kLink, Duration(duration), kNow);
  RC_ASSERT(links.QueueDelay(kLink, kNow) >= 0ms);
  RC_ASSERT(links.QueueDelay(kLink, kNow) <= TransferLinks::kMaxWait + 5s);
}

BOOST_AUTO_TEST_SUITE_END()
