#include "gateway/event_relay.h"

#include <charconv>

namespace ridgehold {
namespace {

/// The highest number that the first event of a run is expected to have.
constexpr std::uint64_t kFirstEvent = 1;

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool complete = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  return complete ? std::optional(number) : std::nullopt;
}

}  // namespace

void EventRelay::StartAttempt() {
  reader_ = SseReader();
  at_last_event_ = last_event_.has_value();
  other_run_ = false;
}

std::string EventRelay::Feed(std::string_view bytes) {
  reader_.Append(bytes);
  std::string new_events;
  while (!other_run_) {
    const auto event = reader_.Next();
    if (!event) break;
    const Verdict verdict = Judge(*event);
    other_run_ = verdict == Verdict::kOtherRun;
    if (verdict != Verdict::kForward) continue;
    new_events += event->raw;
    any_forwarded_ = true;
  }
  return new_events;
}

EventRelay::Verdict EventRelay::Judge(const SseEvent& event) {
  const auto number = ParseNumber(event.id);
  if (!number) return Verdict::kForward;
  if (last_event_ && *number <= *last_event_) {
    const bool repeated = at_last_event_ && *number == *last_event_ && *number > kFirstEvent;
    return repeated ? Verdict::kDrop : Verdict::kOtherRun;
  }
  last_event_ = number;
  at_last_event_ = false;
  return Verdict::kForward;
}

}  // namespace ridgehold
