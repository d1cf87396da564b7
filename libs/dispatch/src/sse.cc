#include "dispatch/sse.h"

namespace ridgehold {
namespace {

constexpr std::string_view kEventEnd = "\n\n";

void TakeLine(std::string_view line, SseEvent& event) {
  const std::size_t colon = line.find(':');
  if (colon == 0 || colon == std::string_view::npos) return;  // a comment, or no field
  const std::string_view name = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  if (name == "id") event.id = value;
  if (name == "event") event.type = value;
  if (name != "data") return;
  if (!event.data.empty()) event.data += '\n';
  event.data += value;
}

}  // namespace

void SseReader::Append(std::string_view bytes) {
  if (position_ > 0) {
    buffer_.erase(0, position_);
    position_ = 0;
  }
  for (const char c : bytes) {
    if (c != '\r') buffer_ += c;
  }
}

std::optional<SseEvent> SseReader::Next() {
  const std::size_t end = buffer_.find(kEventEnd, position_);
  if (failed_ || end == std::string::npos) {
    failed_ = failed_ || buffer_.size() - position_ > kMaxEventBytes;
    return std::nullopt;
  }
  SseEvent event;
  std::string_view lines = buffer_;
  lines = lines.substr(position_, end - position_);
  position_ = end + kEventEnd.size();
  while (!lines.empty()) {
    const std::size_t newline = lines.find('\n');
    TakeLine(lines.substr(0, newline), event);
    lines = newline == std::string_view::npos ? std::string_view() : lines.substr(newline + 1);
  }
  return event;
}

std::string FormatSse(std::string_view data) {
  return "data: " + std::string(data) + std::string(kEventEnd);
}

}  // namespace ridgehold
