#include "performance/stream_timing.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {
const TimePoint kStart{1h};
}

BOOST_AUTO_TEST_SUITE(stream_timing)

// A caller who reads slowly must make neither the stream late nor the engine fast or slow.
BOOST_AUTO_TEST_CASE(time_of_a_slow_caller_does_not_count) {
  StreamTiming timing;
  BOOST_TEST(!timing.RecordArrival(kStart).has_value());
  timing.RecordDelivery(kStart);
  BOOST_TEST((timing.RecordArrival(kStart + 50ms) == std::optional<Duration>(50ms)));
  timing.RecordDelivery(kStart + 950ms);
  BOOST_TEST(!timing.RecordArrival(kStart + 951ms).has_value());
  timing.RecordDelivery(kStart + 951ms);
  BOOST_TEST((timing.RecordArrival(kStart + 1'011ms) == std::optional<Duration>(60ms)));
  BOOST_TEST((timing.longest_pause() == 60ms));
}

// A resumed stream pauses for its caller, but not because either engine is slow.
BOOST_AUTO_TEST_CASE(pause_between_attempts_counts_for_the_caller_only) {
  StreamTiming timing;
  timing.StartAttempt();
  timing.RecordArrival(kStart);
  timing.RecordDelivery(kStart);
  timing.StartAttempt();
  BOOST_TEST(!timing.RecordArrival(kStart + 300ms).has_value());
  BOOST_TEST((timing.longest_pause() == 300ms));
}

BOOST_AUTO_TEST_CASE(late_first_event_precedes_a_late_pause) {
  BOOST_TEST((PunctualityOf(400ms, 400ms, 200ms, 200ms) == StreamPunctuality::kOnTime));
  BOOST_TEST((PunctualityOf(401ms, 400ms, 201ms, 200ms) == StreamPunctuality::kLateFirstEvent));
  BOOST_TEST((PunctualityOf(400ms, 400ms, 201ms, 200ms) == StreamPunctuality::kLatePause));
  BOOST_TEST((PunctualityOf(9s, 0ms, 9s, 0ms) == StreamPunctuality::kOnTime));
}

BOOST_AUTO_TEST_SUITE_END()
