// Events in virtual time, and chance.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <tuple>
#include <utility>
#include <vector>

#include "base/ids.h"

namespace ridgehold::model {

/// Runs events in the order of their moments, those of one moment as they were added. The
/// same seed gives the same play.
class VirtualTime {
 public:
  VirtualTime(std::uint64_t seed, TimePoint start) : now_(start), random_(seed) {}

  TimePoint now() const { return now_; }

  void At(TimePoint at, std::function<void()> run) {
    events_.push({at, ++last_event_, std::move(run)});
  }

  /// Runs all that comes before `end`.
  void RunUntil(TimePoint end) {
    while (!events_.empty() && events_.top().at < end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
  }

  /// From 0 to 1.
  double Random() { return std::uniform_real_distribution<>(0, 1)(random_); }

  Duration Exponential(double mean_ms) {
    constexpr double kUsPerMs = 1'000;
    std::exponential_distribution<> length_us(1 / (kUsPerMs * mean_ms));
    return Duration(static_cast<std::int64_t>(length_us(random_)));
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };

  TimePoint now_;
  std::mt19937_64 random_;
  std::priority_queue<Event> events_;
  std::uint64_t last_event_ = 0;
};

}  // namespace ridgehold::model
