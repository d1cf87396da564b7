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

/// Whether the event has nothing that a client reads, as one sent to keep the connection alive.
bool IsComment(const SseEvent& event) {
  return event.id.empty() && event.type.empty() && event.data.empty();
}

}  // namespace

void EventRelay::StartAttempt() {
  reader_ = SseReader();
  at_last_event_ = last_event_.has_value();
  // The client's position in a stream without numbers is unknown.
  other_run_ = unnumbered_forwarded_ && !last_event_;
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
  if (!number) {
    if (IsComment(event)) return Verdict::kForward;
    if (at_last_event_) return Verdict::kOtherRun;
    unnumbered_forwarded_ = true;
    return Verdict::kForward;
  }
  if (last_event_ && *number <= *last_event_) {
    const bool repeated = at_last_event_ && *number == *last_event_ && *number > kFirstEvent;
    return repeated ? Verdict::kDrop : Verdict::kOtherRun;
  }
  last_event_ = number;
  at_last_event_ = false;
  return Verdict::kForward;
}

}  // namespace ridgehold
