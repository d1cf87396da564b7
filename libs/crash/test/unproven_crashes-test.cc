#include "crash/unproven_crashes.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{1h};
const RequestFingerprint kRequest(7);
const RequestFingerprint kOther(8);
constexpr std::uint32_t kCrashesLeft = 3;

}  // namespace

BOOST_AUTO_TEST_SUITE(unproven_crashes)

// Guards against a request that crashes three servers before the first crash is proved.
BOOST_AUTO_TEST_CASE(request_waits_after_the_last_but_one_interruption) {
  UnprovenCrashes crashes;
  crashes.Add(1, kRequest, kStart);
  BOOST_TEST(!crashes.AwaitsProof(kRequest, kCrashesLeft, kStart));
  crashes.Add(2, kRequest, kStart);
  BOOST_TEST(crashes.AwaitsProof(kRequest, kCrashesLeft, kStart));
  BOOST_TEST(!crashes.AwaitsProof(kOther, kCrashesLeft, kStart));
}

BOOST_AUTO_TEST_CASE(one_interruption_suffices_if_a_crash_is_proved) {
  UnprovenCrashes crashes;
  BOOST_TEST(!crashes.AwaitsProof(kRequest, 1, kStart));
  crashes.Add(1, kRequest, kStart);
  BOOST_TEST(crashes.AwaitsProof(kRequest, kCrashesLeft - 1, kStart));
}

BOOST_AUTO_TEST_CASE(repeated_report_is_neither_counted_nor_prolongs_the_wait) {
  UnprovenCrashes crashes;
  BOOST_TEST(crashes.Add(1, kRequest, kStart));
  BOOST_TEST(!crashes.Add(1, kRequest, kStart + 100ms));
  BOOST_TEST(crashes.SuspectsOf(kRequest, kStart + 100ms).size() == 1U);
  BOOST_TEST(crashes.SuspectsOf(kRequest, kStart + UnprovenCrashes::kProofTime).empty());
  BOOST_TEST(!crashes.Add(1, kRequest, kStart + 500ms));
}

BOOST_AUTO_TEST_CASE(proved_crash_is_no_longer_awaited) {
  UnprovenCrashes crashes;
  crashes.Add(1, kRequest, kStart);
  crashes.Add(2, kRequest, kStart);
  crashes.MarkProved(1, kRequest, kStart);
  BOOST_TEST((crashes.SuspectsOf(kRequest, kStart) == std::vector<BackendHash>{2}));
  crashes.MarkProved(2, kRequest, kStart);
  crashes.MarkProved(2, kRequest, kStart);
  BOOST_TEST(!crashes.AwaitsProof(kRequest, 1, kStart));
}

// Guards against a crash that is awaited again because reports of gateways arrive late.
BOOST_AUTO_TEST_CASE(interruption_reported_after_the_proof_is_not_awaited) {
  UnprovenCrashes crashes;
  crashes.MarkProved(1, kRequest, kStart);
  BOOST_TEST(!crashes.Add(1, kRequest, kStart + 100ms));
  BOOST_TEST(!crashes.AwaitsProof(kRequest, 1, kStart + 100ms));
}

BOOST_AUTO_TEST_CASE(memory_is_bounded) {
  UnprovenCrashes crashes;
  for (std::size_t i = 0; i <= UnprovenCrashes::kMaxInterruptions; ++i) {
    crashes.Add(1, RequestFingerprint(i), kStart);
  }
  BOOST_TEST(crashes.SuspectsOf(RequestFingerprint(0), kStart).empty());
  BOOST_TEST(crashes.SuspectsOf(RequestFingerprint(1), kStart).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
