#include "dispatch/stream_sequencer.h"

#include <charconv>

namespace ridgehold {
namespace {

/// Cuts the text up to the next blank off `rest`.
std::string_view NextWord(std::string_view& rest) {
  const std::size_t blank = rest.find(' ');
  const std::string_view word = rest.substr(0, blank);
  rest = blank == std::string_view::npos ? std::string_view() : rest.substr(blank + 1);
  return word;
}

}  // namespace

std::optional<FrameId> FrameId::Parse(std::string_view text) {
  FrameId id;
  id.request = RequestId(std::string(NextWord(text)));
  id.incarnation = Incarnation(std::string(NextWord(text)));
  id.weights = WeightsVersion(std::string(NextWord(text)));
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id.offset);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return id;
}

FrameVerdict StreamSequencer::Take(const SseEvent& event) {
  const auto id = FrameId::Parse(event.id);
  const bool ours = id && id->request == identity_.request &&
                    id->incarnation == identity_.incarnation && id->weights == identity_.weights;
  if (!ours) return FrameVerdict::kForeign;
  const bool starts_elsewhere = first_of_attempt_ && id->offset != next_offset_;
  if (starts_elsewhere) return FrameVerdict::kGap;
  first_of_attempt_ = false;
  if (id->offset < next_offset_ || ended_) return FrameVerdict::kDuplicate;
  if (id->offset > next_offset_) return FrameVerdict::kGap;
  ++next_offset_;
  ended_ = event.data == kEndOfAnswer;
  return FrameVerdict::kPass;
}

}  // namespace ridgehold
