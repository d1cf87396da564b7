// Passes a stream's whole events on, each once and in order, across attempts.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "sse/sse.h"

namespace ridgehold {

/// Lives as long as the caller's answer. Not thread-safe.
class EventRelay {
 public:
  /// `resume_after`: the last event that the caller has already.
  explicit EventRelay(std::optional<std::uint64_t> resume_after) : last_event_(resume_after) {}

  /// Another attempt begins; an unfinished event of the one before is dropped.
  void StartAttempt() { reader_ = SseReader(); }

  /// Takes bytes of the attempt's answer and returns the whole events that are
  /// new to the caller, as they came.
  std::string Take(std::string_view bytes);

  /// The number of the last event passed on; what a resumed run continues after.
  std::optional<std::uint64_t> last_event() const { return last_event_; }

  /// Whether the attempt's bytes end within an event, or had an event without bound.
  bool incomplete() const { return reader_.has_partial_event() || reader_.failed(); }

  /// Whether any event has been passed on.
  bool passed_any() const { return passed_any_; }

 private:
  /// Whether the caller has the event already.
  bool IsDuplicate(const SseEvent& event);

  SseReader reader_;
  std::optional<std::uint64_t> last_event_;
  bool passed_any_ = false;
};

}  // namespace ridgehold
