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
///
/// Only a run that goes on after the last event may follow it. An attempt that shows another run
/// fails: its events could not be told from those that the client has. It may start with the last
/// event, which is dropped, unless that is the first one that a run can have. Numbers may be
/// skipped. Events without a number are forwarded, except by an attempt that resumes before it has
/// shown a newer number; a stream that has had no number at all cannot be resumed.
class EventRelay {
 public:
  /// `resume_after` is the last event that the client has received.
  explicit EventRelay(std::optional<std::uint64_t> resume_after)
      : last_event_(resume_after), at_last_event_(resume_after.has_value()) {}

  /// Starts a new attempt; a partial event of the previous one is discarded.
  void StartAttempt();

  /// Parses bytes of the attempt's response and returns the complete events that are new to the
  /// client, unmodified.
  std::string Feed(std::string_view bytes);

  /// Number of the last forwarded event, after which a resumed attempt continues.
  std::optional<std::uint64_t> last_event() const { return last_event_; }

  /// Whether the attempt's bytes end within an event, or the attempt failed.
  bool incomplete() const { return reader_.has_partial_event() || failed(); }

  /// Whether the attempt cannot go on: an event exceeded the size limit or belongs to another run.
  /// Events before it were returned by `Feed`.
  bool failed() const { return reader_.failed() || other_run_; }

  /// Bytes of events that are not complete yet.
  std::size_t buffered_bytes() const { return reader_.buffered_bytes(); }

  /// Whether any event has been forwarded.
  bool any_forwarded() const { return any_forwarded_; }

 private:
  enum class Verdict {
    kForward,
    kDrop,      ///< the client has the event
    kOtherRun,  ///< the event does not belong to a run that goes on after the last event
  };

  /// Decides on the event and records its number if it is forwarded.
  Verdict Judge(const SseEvent& event);

  SseReader reader_;
  std::optional<std::uint64_t> last_event_;
  bool at_last_event_;  ///< the attempt resumes after the last event and has shown no newer one
  bool other_run_ = false;
  bool unnumbered_forwarded_ = false;
  bool any_forwarded_ = false;
};

}  // namespace ridgehold
