#include "performance/stream_timing.h"

#include <algorithm>
#include <utility>

namespace ridgehold {

std::optional<Duration> StreamTiming::RecordArrival(TimePoint now) {
  arrived_at_ = now;
  const bool measures_engine = std::exchange(measures_engine_, true);
  if (!waiting_since_) return std::nullopt;
  const auto pause = std::chrono::duration_cast<Duration>(now - *waiting_since_);
  longest_pause_ = std::max(longest_pause_, pause);
  return measures_engine ? std::optional(pause) : std::nullopt;
}

void StreamTiming::RecordDelivery(TimePoint now) {
  waiting_since_ = now;
  measures_engine_ = measures_engine_ && now - arrived_at_ <= kMaxDeliveryTime;
}

StreamPunctuality PunctualityOf(Duration first_event, Duration first_event_objective,
                                Duration longest_pause, Duration pause_objective) {
  const auto exceeds = [](Duration time, Duration objective) {
    return objective > Duration::zero() && time > objective;
  };
  if (exceeds(first_event, first_event_objective)) return StreamPunctuality::kLateFirstEvent;
  return exceeds(longest_pause, pause_objective) ? StreamPunctuality::kLatePause
                                                 : StreamPunctuality::kOnTime;
}

}  // namespace ridgehold
