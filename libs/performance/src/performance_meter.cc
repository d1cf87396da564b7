#include "performance/performance_meter.h"

#include <algorithm>
#include <chrono>

namespace ridgehold {
namespace {

double Milliseconds(Duration duration) {
  return std::max(0.0, std::chrono::duration<double, std::milli>(duration).count());
}

}  // namespace

std::optional<PerformanceSample> PerformanceMeter::Average::Record(double expected_ms,
                                                                   double observed_ms) {
  const double usual = ratio() * expected_ms;
  const bool known = usual > 0;
  const double limited = known ? std::min(observed_ms, kMaxObservedRatio * usual) : observed_ms;
  samples_ = std::min(samples_ + 1, kMinSamples);
  expected_ms_ = kDecay * expected_ms_ + expected_ms;
  observed_ms_ = kDecay * observed_ms_ + limited;
  if (!known) return std::nullopt;
  return PerformanceSample{usual, limited};
}

double PerformanceMeter::Average::ratio() const {
  return samples_ >= kMinSamples && expected_ms_ > 0 ? observed_ms_ / expected_ms_ : 0;
}

std::optional<PerformanceSample> PerformanceMeter::RecordPause(RequestGroup group, Duration pause) {
  const auto sample = GroupOf(group).pause.Record(1, Milliseconds(pause));
  return group == RequestGroup::kInteractive ? sample : std::nullopt;
}

std::optional<PerformanceSample> PerformanceMeter::RecordFirstEvent(RequestGroup group,
                                                                    Duration expected,
                                                                    Duration observed) {
  if (expected <= Duration::zero()) return std::nullopt;
  return GroupOf(group).first_event.Record(Milliseconds(expected), Milliseconds(observed));
}

double PerformanceMeter::AveragePause(RequestGroup group) const {
  return groups_[static_cast<std::size_t>(group)].pause.ratio();
}

}  // namespace ridgehold
