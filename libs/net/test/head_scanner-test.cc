// Guards against heads whose folded or badly ended lines are joined, and against bytes that can be
// no head and are waited for.

#include "net/head_scanner.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace ridgehold;

namespace {

using Verdict = HeadScanner::Verdict;

Verdict ScanAtOnce(const std::string& text) { return HeadScanner().Scan(text); }

/// Lets one scanner see ever more of the text.
Verdict ScanInParts(const std::string& text, const std::vector<std::size_t>& cuts) {
  HeadScanner scanner;
  for (const std::size_t cut : cuts) {
    const Verdict verdict = scanner.Scan(std::string_view(text).substr(0, cut));
    if (verdict != Verdict::kIncomplete) return verdict;
  }
  return scanner.Scan(text);
}

std::string DrawText() {
  const auto piece = rc::gen::elementOf(std::vector<std::string>{
      "HTTP/1.1 200 OK", "\r\n", "\r\n", "\n", "\r", " ", "\t", "X-A: 1", "a", ":", "HTTP/1."});
  const bool begins = *rc::gen::arbitrary<bool>();
  std::string text = begins ? "HTTP/1.1 200 OK\r\n" : "";
  for (const auto& part : *rc::gen::container<std::vector<std::string>>(piece)) text += part;
  return text;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(head_scanner)

BOOST_AUTO_TEST_CASE(ends_with_the_first_empty_line) {
  BOOST_TEST((ScanAtOnce("HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\n") == Verdict::kComplete));
  BOOST_TEST((ScanAtOnce("HTTP/1.1 200 OK\r\n\r\n \nbody") == Verdict::kComplete));
  BOOST_TEST((ScanAtOnce("HTTP/1.1 200 OK\r\nX-A: 1\r\n") == Verdict::kIncomplete));
  BOOST_TEST((ScanAtOnce("") == Verdict::kIncomplete));
  BOOST_TEST((ScanAtOnce("HTT") == Verdict::kIncomplete));
}

BOOST_AUTO_TEST_CASE(odd_lines_are_malformed_as_soon_as_they_come) {
  for (const std::string text :
       {"HTTP/1.1 200 OK\n", "HTTP/1.1 200 OK\r\nX-A: 1\n", "HTTP/1.1 200 OK\r\n X-A: 1\r\n",
        "HTTP/1.1 200 OK\r\nX-A: 1\r\n\t2\r\n", "HTTX", "\r\n", " HTTP/1.1", "HTTP/2"}) {
    BOOST_TEST((ScanAtOnce(text) == Verdict::kMalformed), text);
  }
}

RC_BOOST_PROP(parts_do_not_change_the_verdict, ()) {
  const std::string text = DrawText();
  std::vector<std::size_t> cuts;
  for (std::size_t at = 0; at < text.size();) {
    at += *rc::gen::inRange<std::size_t>(1, 8);
    cuts.push_back(std::min(at, text.size()));
  }
  RC_ASSERT(ScanInParts(text, cuts) == ScanAtOnce(text));
}

RC_BOOST_PROP(complete_head_has_whole_lines_only, ()) {
  const std::string text = DrawText();
  if (ScanAtOnce(text) != Verdict::kComplete) return;
  const std::size_t end = text.find("\r\n\r\n");
  RC_ASSERT(end != std::string::npos);
  const std::string head = text.substr(0, end + 2);
  RC_ASSERT(head.starts_with("HTTP/1."));
  for (std::size_t at = head.find('\n'); at != std::string::npos; at = head.find('\n', at + 1)) {
    RC_ASSERT(at > 0 && head[at - 1] == '\r');
    if (at + 1 < head.size()) RC_ASSERT(head[at + 1] != ' ' && head[at + 1] != '\t');
  }
}

BOOST_AUTO_TEST_SUITE_END()
