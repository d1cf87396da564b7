#include "gateway/event_relay.h"

#include <rapidcheck/boost_test.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace ridgehold;

namespace {

std::string Event(int number) {
  return "id: " + std::to_string(number) + "\ndata: d" + std::to_string(number) + "\n\n";
}

std::string EventCrLf(int number) {
  return "id: " + std::to_string(number) + "\r\ndata: d" + std::to_string(number) + "\r\n\r\n";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(event_relay)

BOOST_AUTO_TEST_CASE(complete_event_is_forwarded_unmodified) {
  EventRelay relay(std::nullopt);
  BOOST_TEST(relay.Feed("x-weight: 3\r\nid: 1\r\ndata: a\r\n").empty());
  BOOST_TEST(relay.incomplete());
  BOOST_TEST(relay.Feed("\r\nid: 2") == "x-weight: 3\r\nid: 1\r\ndata: a\r\n\r\n");
  BOOST_TEST(relay.last_event().value() == 1);
}

BOOST_AUTO_TEST_CASE(events_without_a_number_are_forwarded) {
  EventRelay relay(std::nullopt);
  BOOST_TEST(relay.Feed("data: a\n\ndata: b\n\n") == "data: a\n\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(events_already_received_are_dropped) {
  EventRelay relay(4);
  BOOST_TEST(relay.Feed(Event(4) + Event(5)) == Event(5));
}

RC_BOOST_PROP(each_event_is_forwarded_once_in_order_despite_interruptions, ()) {
  const int total = *rc::gen::inRange(1, 30);
  EventRelay relay(std::nullopt);
  std::string forwarded;
  int done = 0;
  constexpr int kMaxInterruptions = 10;
  for (int attempt = 0; done < total; ++attempt) {
    relay.StartAttempt();
    // An attempt resumes after the last event, may repeat that event unless it is the first one of
    // the stream, and may be interrupted anywhere.
    const int from = done + 1 - (done > 1 ? *rc::gen::inRange(0, 2) : 0);
    std::string bytes;
    for (int i = from; i <= total; ++i) bytes += Event(i);
    const bool last = attempt == kMaxInterruptions;
    const auto cut = last ? bytes.size() : *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
    for (std::size_t at = 0; at < cut; at += 7) {
      forwarded +=
          relay.Feed(std::string_view(bytes).substr(at, std::min<std::size_t>(7, cut - at)));
    }
    done = static_cast<int>(relay.last_event().value_or(0));
  }
  std::string expected;
  for (int i = 1; i <= total; ++i) expected += Event(i);
  RC_ASSERT(forwarded == expected);
}

// Guards against events that depend on where reads cut the bytes: an event may come in two reads,
// or many in one.
RC_BOOST_PROP(any_cutting_of_the_bytes_gives_the_same_events_once_and_in_order, ()) {
  const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 5));
  const bool partial_end = *rc::gen::arbitrary<bool>();
  std::string expected;
  int number = 0;
  for (const int step : steps) {
    number += step;
    expected += *rc::gen::element(Event(number), "x-weight: 3\r\n" + EventCrLf(number),
                                  std::string("data: unnumbered\n\n"), std::string(": ping\n\n"));
  }
  const std::string bytes = partial_end ? expected + "id: 999\ndata: x\n" : expected;
  EventRelay relay(std::nullopt);
  relay.StartAttempt();
  std::string forwarded;
  for (std::size_t at = 0; at < bytes.size();) {
    const auto length = *rc::gen::inRange<std::size_t>(1, 60);
    forwarded += relay.Feed(std::string_view(bytes).substr(at, length));
    at += length;
  }
  RC_ASSERT(forwarded == expected);
  RC_ASSERT(relay.incomplete() == partial_end);
  RC_ASSERT(!relay.failed());
}

// Guards against a size limit that holds only for events that come in several reads.
BOOST_AUTO_TEST_CASE(event_over_the_size_limit_fails_however_it_is_cut) {
  const std::string event = "id: 1\ndata: " + std::string(SseReader::kMaxEventBytes, 'x') + "\n\n";
  for (const std::size_t length : {event.size(), event.size() / 2, std::size_t{10'000}}) {
    EventRelay relay(std::nullopt);
    std::string forwarded;
    for (std::size_t at = 0; at < event.size(); at += length) {
      forwarded += relay.Feed(std::string_view(event).substr(at, length));
    }
    BOOST_TEST(relay.failed());
    BOOST_TEST(forwarded.empty());
  }
}

// Guards against pieces of two runs in one stream: a server ignores Last-Event-Id and starts anew.
RC_BOOST_PROP(attempt_that_starts_before_the_last_event_is_not_joined, ()) {
  const int last = *rc::gen::inRange(1, 30);
  const bool by_caller = *rc::gen::arbitrary<bool>();
  EventRelay relay(by_caller ? std::optional<std::uint64_t>(last) : std::nullopt);
  relay.StartAttempt();
  if (!by_caller) relay.Feed(Event(last));
  relay.StartAttempt();
  const int start = last == 1 ? 1 : *rc::gen::inRange(1, last);
  std::string bytes;
  for (int i = start; i <= last + 5; ++i) bytes += Event(i);
  std::string forwarded;
  for (std::size_t at = 0; at < bytes.size();) {
    const auto length = *rc::gen::inRange<std::size_t>(1, 60);
    forwarded += relay.Feed(std::string_view(bytes).substr(at, length));
    at += length;
  }
  RC_ASSERT(forwarded.empty());
  RC_ASSERT(relay.failed());
  RC_ASSERT(relay.incomplete());
  RC_ASSERT(relay.last_event().value() == static_cast<std::uint64_t>(last));
  relay.StartAttempt();
  RC_ASSERT(!relay.failed());
  RC_ASSERT(relay.Feed(Event(last + 1)) == Event(last + 1));
}

// Guards against pieces that are missing or of two runs: numbers that go back or repeat within an
// attempt were dropped, and the events after them forwarded.
BOOST_AUTO_TEST_CASE(attempt_whose_numbers_go_back_or_repeat_ends_there) {
  for (const int next : {1, 2, 3}) {
    EventRelay relay(std::nullopt);
    relay.StartAttempt();
    BOOST_TEST(relay.Feed(Event(1) + Event(2)) == Event(1) + Event(2));
    BOOST_TEST(relay.Feed(Event(3) + Event(next) + Event(4)) == Event(3));
    BOOST_TEST(relay.Feed(Event(5)).empty());
    BOOST_TEST(relay.failed());
    BOOST_TEST(relay.incomplete());
    relay.StartAttempt();
    BOOST_TEST(!relay.failed());
    BOOST_TEST(relay.Feed(Event(3) + Event(4)) == Event(4));
  }
}

BOOST_AUTO_TEST_CASE(numbers_may_be_skipped) {
  EventRelay relay(4);
  relay.StartAttempt();
  BOOST_TEST(relay.Feed(Event(7) + Event(20)) == Event(7) + Event(20));
  BOOST_TEST(!relay.failed());
}

// Guards against an event that comes twice: without a number it cannot be told from one that the
// client has.
BOOST_AUTO_TEST_CASE(attempt_that_resumes_with_an_unnumbered_event_is_not_joined) {
  for (const bool by_caller : {false, true}) {
    EventRelay relay(by_caller ? std::optional<std::uint64_t>(2) : std::nullopt);
    relay.StartAttempt();
    if (!by_caller) relay.Feed(Event(1) + Event(2) + "data: x\n\n");
    relay.StartAttempt();
    BOOST_TEST(relay.Feed(Event(2) + "data: x\n\n" + Event(3)).empty());
    BOOST_TEST(relay.failed());
    // After a newer event of the same run, one without a number is new, too.
    relay.StartAttempt();
    const std::string rest = ": ping\n\n" + Event(3) + "data: done\n\n";
    BOOST_TEST(relay.Feed(rest) == rest);
    BOOST_TEST(!relay.failed());
  }
}

// Guards against a stream without numbers that is sent again from its start after a break.
BOOST_AUTO_TEST_CASE(stream_without_numbers_is_not_begun_again) {
  EventRelay relay(std::nullopt);
  relay.StartAttempt();
  BOOST_TEST(relay.Feed("data: a\n\ndata: b") == "data: a\n\n");
  relay.StartAttempt();
  BOOST_TEST(relay.failed());
  BOOST_TEST(relay.incomplete());
  BOOST_TEST(relay.Feed("data: a\n\ndata: b\n\n").empty());
  BOOST_TEST(relay.Feed(Event(1)).empty());
}

// Guards against a stream that is given up because of a comment.
BOOST_AUTO_TEST_CASE(stream_may_begin_again_after_a_comment) {
  EventRelay relay(std::nullopt);
  relay.StartAttempt();
  BOOST_TEST(relay.Feed(": ping\n\n") == ": ping\n\n");
  relay.StartAttempt();
  BOOST_TEST(relay.Feed(Event(1)) == Event(1));
}

BOOST_AUTO_TEST_SUITE_END()
