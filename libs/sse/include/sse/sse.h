// An incremental parser for server-sent events (SSE).

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace ridgehold {

/// One event; fields that it does not have are empty.
struct SseEvent {
  std::string id;
  std::string type;
  std::string data;
  std::string raw;  ///< the unparsed event, including the terminating blank line
};

/// Buffers bytes until an event is complete. Fails when an event exceeds `kMaxEventBytes`, and
/// discards further bytes.
class SseReader {
 public:
  static constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20;

  void Append(std::string_view bytes);

  /// Returns the next complete event, or nullopt if more bytes are needed or parsing failed.
  std::optional<SseEvent> Next();

  /// Whether an event was too long; `Next` then returns no more events.
  bool failed() const { return failed_; }

  /// Number of bytes in the buffer.
  std::size_t buffered_bytes() const { return buffer_.size(); }

  /// Whether the buffer holds bytes that `Next` has not returned.
  bool has_partial_event() const { return position_ < buffer_.size(); }

 private:
  /// Returns the length of the first event of the unread bytes, including its terminating blank
  /// line; npos if the event is incomplete.
  std::size_t FindEnd();

  std::string buffer_;
  std::size_t position_ = 0;
  std::size_t searched_ = 0;  ///< no event ends before this position
  bool failed_ = false;
};

/// Formats an event with only a `data` field. `data` must not contain line breaks.
std::string FormatSse(std::string_view data);

}  // namespace ridgehold
