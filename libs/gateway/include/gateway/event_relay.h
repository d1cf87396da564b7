// Forwards complete events of a stream exactly once and in order across attempts.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "sse/sse.h"

namespace ridgehold {

/// Lives as long as the response to the client. Not thread-safe.
class EventRelay {
 public:
  /// `resume_after` is the last event that the client has received.
  explicit EventRelay(std::optional<std::uint64_t> resume_after) : last_event_(resume_after) {}

  /// Starts a new attempt; a partial event of the previous one is discarded.
  void StartAttempt() { reader_ = SseReader(); }

  /// Parses bytes of the attempt's response and returns the complete events that are new to the
  /// client, unmodified.
  std::string Feed(std::string_view bytes);

  /// Number of the last forwarded event, after which a resumed attempt continues.
  std::optional<std::uint64_t> last_event() const { return last_event_; }

  /// Whether the attempt's bytes end within an event, or an event exceeded the size limit.
  bool incomplete() const { return reader_.has_partial_event() || reader_.failed(); }

  /// Whether an event exceeded the size limit.
  bool failed() const { return reader_.failed(); }

  /// Bytes of events that are not complete yet.
  std::size_t buffered_bytes() const { return reader_.buffered_bytes(); }

  /// Whether any event has been forwarded.
  bool any_forwarded() const { return any_forwarded_; }

 private:
  /// Returns whether the client already has the event; otherwise records its number.
  bool IsDuplicate(const SseEvent& event);

  SseReader reader_;
  std::optional<std::uint64_t> last_event_;
  bool any_forwarded_ = false;
};

}  // namespace ridgehold
