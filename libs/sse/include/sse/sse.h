// Server-sent events: bytes in, events out.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace ridgehold {

/// One event.
struct SseEvent {
  std::string id;
  std::string type;
  std::string data;
  std::string raw;  ///< the event as it came, with the blank line that ends it
};

/// Collects bytes until an event is whole. Bounded: an event of more than
/// kMaxEventBytes makes it fail.
class SseReader {
 public:
  static constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20;

  void Append(std::string_view bytes);

  /// Returns the next whole event, or nothing yet.
  std::optional<SseEvent> Next();

  /// Whether an event was too long; nothing more comes out.
  bool failed() const { return failed_; }

  /// Whether bytes of an unfinished event are left.
  bool has_partial_event() const { return position_ < buffer_.size(); }

 private:
  std::string buffer_;
  std::size_t position_ = 0;
  bool failed_ = false;
};

/// Writes an event that has only data.
std::string FormatSse(std::string_view data);

}  // namespace ridgehold
