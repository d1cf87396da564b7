#include "sse/sse.h"

#include <algorithm>

namespace ridgehold {
namespace {

constexpr std::string_view kBlankLine = "\n\n";
constexpr std::string_view kBlankLineCrLf = "\r\n\r\n";

void ParseLine(std::string_view line, SseEvent& event) {
  if (line.ends_with('\r')) line.remove_suffix(1);
  const std::size_t colon = line.find(':');
  if (colon == 0 || colon == std::string_view::npos)
    return;  // a comment, or a line without a value
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

std::size_t SseReader::FindEnd() {
  const std::string_view text = buffer_;
  // A blank line may have begun in the bytes before.
  const std::size_t overlap = std::min(searched_ - position_, kBlankLineCrLf.size() - 1);
  // One pass for both forms: each byte is searched once, however many events there are.
  for (std::size_t at = text.find('\n', searched_ - overlap); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    const bool ends_crlf = at > position_ && text[at - 1] == '\r';
    if (text.substr(at).starts_with(kBlankLine)) {
      searched_ = at + kBlankLine.size();
    } else if (ends_crlf && text.substr(at - 1).starts_with(kBlankLineCrLf)) {
      searched_ = at - 1 + kBlankLineCrLf.size();
    } else {
      continue;
    }
    return searched_ - position_;
  }
  searched_ = text.size();
  return std::string_view::npos;
}

void SseReader::Append(std::string_view bytes) {
  if (failed_) return;
  if (position_ > 0) {
    buffer_.erase(0, position_);
    searched_ -= position_;
    position_ = 0;
  }
  buffer_ += bytes;
}

std::optional<SseEvent> SseReader::Next() {
  std::string_view text = buffer_;
  text.remove_prefix(position_);
  const std::size_t end = FindEnd();
  const bool complete = end != std::string_view::npos;
  failed_ = failed_ || (complete ? end : text.size()) > kMaxEventBytes;
  if (failed_ || !complete) return std::nullopt;
  SseEvent event;
  event.raw = text.substr(0, end);
  std::string_view lines = event.raw;
  while (!lines.empty()) {
    const std::size_t newline = lines.find('\n');
    ParseLine(lines.substr(0, newline), event);
    lines = newline == std::string_view::npos ? std::string_view() : lines.substr(newline + 1);
  }
  position_ += end;
  return event;
}

std::string FormatSse(std::string_view data) {
  return "data: " + std::string(data) + std::string(kBlankLine);
}

}  // namespace ridgehold
