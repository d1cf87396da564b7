#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "sse/sse.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

std::vector<std::string> ReadAll(SseReader& reader) {
  std::vector<std::string> events;
  while (const auto event = reader.Next()) events.push_back(event->raw);
  return events;
}

/// The events of `text`, appended in parts of `step` bytes.
std::vector<std::string> ReadInParts(const std::string& text, std::size_t step) {
  SseReader reader;
  std::vector<std::string> events;
  for (std::size_t at = 0; at < text.size(); at += step) {
    reader.Append(std::string_view(text).substr(at, step));
    for (std::string& event : ReadAll(reader)) events.push_back(std::move(event));
  }
  return events;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(sse_reader)

BOOST_AUTO_TEST_CASE(events_do_not_depend_on_how_their_bytes_arrive) {
  const std::string text =
      "id: 1\n\ndata: a\r\n\r\n: comment\n\n\n\nid: 2\r\ndata: b\n\r\n\r\n\ndata: c\n\n";
  const std::vector<std::string> whole = ReadInParts(text, text.size());
  BOOST_TEST(whole.size() == 6U);
  BOOST_TEST(whole.at(1) == "data: a\r\n\r\n");
  for (std::size_t step = 1; step < text.size(); ++step) {
    BOOST_TEST(ReadInParts(text, step) == whole, boost::test_tools::per_element());
  }
}

// Guards against a server that uses up the processor with events of no content.
BOOST_AUTO_TEST_CASE(many_empty_events_are_read_in_linear_time) {
  for (const std::string event : {"\n\n", "\r\n\r\n"}) {
    constexpr std::size_t kEvents = 250'000;
    std::string text;
    for (std::size_t i = 0; i < kEvents; ++i) text += event;
    SseReader reader;
    const auto start = std::chrono::steady_clock::now();
    reader.Append(text);
    BOOST_TEST(ReadAll(reader).size() == kEvents);
    BOOST_TEST((std::chrono::steady_clock::now() - start < 2s));
  }
}

// Guards against a server that uses up the processor with one event that arrives in small parts.
BOOST_AUTO_TEST_CASE(long_event_in_small_parts_is_read_in_linear_time) {
  const std::string text = "data: " + std::string(900'000, 'x') + "\n\n";
  const auto start = std::chrono::steady_clock::now();
  BOOST_TEST(ReadInParts(text, 4).size() == 1U);
  BOOST_TEST((std::chrono::steady_clock::now() - start < 2s));
}

BOOST_AUTO_TEST_SUITE_END()
