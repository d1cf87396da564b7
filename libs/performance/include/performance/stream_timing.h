// Times the events of a stream as its caller experiences them, and tells whether it was on time.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "base/ids.h"

namespace ridgehold {

/// The pauses of one response over all attempts. Only time spent waiting for engines counts: while
/// a slow caller is written to, the clock stops. Not thread-safe.
class StreamTiming {
 public:
  /// If the caller took longer than this to take the events before, the next ones may have been
  /// received meanwhile, and the pause says nothing about the engine.
  static constexpr std::chrono::milliseconds kMaxDeliveryTime{5};

  /// Records that events have arrived. Returns the pause before them if it measures the engine:
  /// nothing for the first events of an attempt, or after a slow delivery.
  std::optional<Duration> RecordArrival(TimePoint now);
  /// Records that the caller has taken the events.
  void RecordDelivery(TimePoint now);
  /// Records that another attempt begins. The pause that the caller sees goes on.
  void StartAttempt() { measures_engine_ = false; }

  Duration longest_pause() const { return longest_pause_; }

 private:
  Duration longest_pause_{0};
  TimePoint arrived_at_{};
  std::optional<TimePoint> waiting_since_;
  bool measures_engine_ = false;
};

/// Whether a stream kept its objectives.
enum class StreamPunctuality : std::uint8_t { kOnTime, kLateFirstEvent, kLatePause };

/// A stream with a late first event counts as that, whatever its pauses. Objectives of zero are
/// always kept.
StreamPunctuality PunctualityOf(Duration first_event, Duration first_event_objective,
                                Duration longest_pause, Duration pause_objective);

}  // namespace ridgehold
