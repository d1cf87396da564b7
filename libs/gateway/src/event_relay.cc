#include "gateway/event_relay.h"

#include <charconv>

namespace ridgehold {
namespace {

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool complete = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  return complete ? std::optional(number) : std::nullopt;
}

}  // namespace

std::string EventRelay::Feed(std::string_view bytes) {
  reader_.Append(bytes);
  std::string new_events;
  while (auto event = reader_.Next()) {
    if (IsDuplicate(*event)) continue;
    new_events += event->raw;
    any_forwarded_ = true;
  }
  return new_events;
}

bool EventRelay::IsDuplicate(const SseEvent& event) {
  const auto number = ParseNumber(event.id);
  if (!number) return false;
  if (last_event_ && *number <= *last_event_) return true;
  last_event_ = number;
  return false;
}

}  // namespace ridgehold
