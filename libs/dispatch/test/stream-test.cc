#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "dispatch/stream_sequencer.h"
#include "sse/sse.h"

using namespace ridgehold;

namespace {

SseEvent Frame(const std::string& request, const std::string& incarnation,
               const std::string& weights, std::uint64_t offset, const std::string& data) {
  return {request + " " + incarnation + " " + weights + " " + std::to_string(offset), "", data};
}

/// The answer all engines give: frames 0 to length-1, then the end.
SseEvent TrueFrame(const std::string& request, std::uint64_t offset, std::uint64_t length) {
  return Frame(
      request, "i", "w", offset,
      offset == length ? std::string(StreamSequencer::kEndOfAnswer) : "t" + std::to_string(offset));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(stream)

RC_BOOST_PROP(the_caller_gets_each_token_once_in_order_and_an_end_only_after_all, ()) {
  const auto length = *rc::gen::inRange<std::uint64_t>(0, 12);
  StreamSequencer sequencer;
  std::vector<std::string> passed;
  const auto attempts = *rc::gen::inRange(1, 6);
  for (int attempt = 0; attempt < attempts && !sequencer.ended(); ++attempt) {
    const std::string id = "r" + std::to_string(attempt);
    sequencer.StartAttempt({RequestId(id), Incarnation("i"), WeightsVersion("w")});
    std::uint64_t offset = *rc::gen::weightedElement<std::uint64_t>(
        {{6, sequencer.next_offset()}, {1, 0}, {1, sequencer.next_offset() + 1}});
    for (int left = 20; left > 0 && offset <= length; --left) {
      SseEvent frame = TrueFrame(id, offset, length);
      const int fault = *rc::gen::inRange(0, 24);
      if (fault == 0) frame = Frame("r9", "i", "w", offset, "foreign");         // crossed
      if (fault == 1) frame = Frame(id, "old", "w", offset, frame.data);        // incarnation
      if (fault == 2) frame = Frame(id, "i", "w2", offset, frame.data);         // weights
      if (fault == 3 && offset > 0) frame = TrueFrame(id, offset - 1, length);  // duplicate
      if (fault == 4) frame = TrueFrame(id, offset + 1, length);                // reordered
      if (fault == 5) frame.id = "";                                            // no id
      if (fault == 6) break;                                                    // cut
      const FrameVerdict verdict = sequencer.Take(frame);
      if (verdict == FrameVerdict::kPass) passed.push_back(frame.data);
      if (verdict == FrameVerdict::kGap || verdict == FrameVerdict::kForeign) break;
      if (verdict == FrameVerdict::kPass) ++offset;
    }
  }
  for (std::size_t i = 0; i < passed.size(); ++i) {
    RC_ASSERT(passed[i] == TrueFrame("r", i, length).data);
  }
  RC_ASSERT(sequencer.ended() == (passed.size() == length + 1));
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_must_begin_at_the_exact_offset) {
  StreamSequencer sequencer;
  sequencer.StartAttempt({RequestId("r0"), Incarnation("i"), WeightsVersion("w")});
  BOOST_TEST((sequencer.Take(TrueFrame("r0", 0, 5)) == FrameVerdict::kPass));
  sequencer.StartAttempt({RequestId("r1"), Incarnation("i"), WeightsVersion("w")});
  // An engine that starts over may have sampled another answer.
  BOOST_TEST((sequencer.Take(TrueFrame("r1", 0, 5)) == FrameVerdict::kGap));
}

RC_BOOST_PROP(events_are_the_same_however_the_bytes_are_cut, ()) {
  const std::string bytes =
      "id: a\ndata: one\n\n: comment\r\ndata: two\ndata: three\r\n\r\nevent: x\ndata:4\n\n";
  SseReader reader;
  std::vector<std::string> data;
  std::size_t at = 0;
  while (at < bytes.size()) {
    const auto size = *rc::gen::inRange<std::size_t>(1, 12);
    reader.Append(std::string_view(bytes).substr(at, size));
    at += size;
    while (auto event = reader.Next()) data.push_back(event->id + event->type + event->data);
  }
  RC_ASSERT(data == (std::vector<std::string>{"aone", "two\nthree", "x4"}));
}

RC_BOOST_PROP(arbitrary_bytes_never_crash_reader_or_sequencer, (const std::string& bytes)) {
  SseReader reader;
  StreamSequencer sequencer;
  sequencer.StartAttempt({RequestId("r"), Incarnation("i"), WeightsVersion("w")});
  reader.Append(bytes + "\n\n");
  while (auto event = reader.Next()) RC_ASSERT(sequencer.Take(*event) == FrameVerdict::kForeign);
}

BOOST_AUTO_TEST_CASE(an_endless_event_fails_instead_of_filling_the_memory) {
  SseReader reader;
  reader.Append(std::string(SseReader::kMaxEventBytes + 1, 'x'));
  BOOST_TEST(!reader.Next().has_value());
  BOOST_TEST(reader.failed());
}

BOOST_AUTO_TEST_SUITE_END()
