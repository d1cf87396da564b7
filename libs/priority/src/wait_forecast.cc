#include "priority/wait_forecast.h"

#include <algorithm>
#include <cmath>

namespace ridgehold {

WaitForecast::Ticket::Ticket(WaitForecast& forecast, const RequestOrder& order, TimePoint received)
    : waiting_(forecast.ClassOf(order).waiting),
      entry_(waiting_.emplace(received, order.max_wait)) {}

WaitForecast::Ticket::~Ticket() { waiting_.erase(entry_); }

void WaitForecast::RecordAdmitted(const RequestOrder& order, bool has_waited, Duration wait,
                                  TimePoint now) {
  Class& own = ClassOf(order);
  own.waits.Add(static_cast<double>(wait.count()), now);
  own.admitted.Add(1, now);
  if (has_waited) own.last_wait_ended = now;
}

Duration WaitForecast::ForecastFor(const RequestOrder& order, TimePoint now) const {
  const Class& own = classes_[IndexOf(order.urgency, order.over_share)];
  const bool waited_lately =
      own.last_wait_ended != TimePoint{} && now - own.last_wait_ended < std::chrono::seconds(1);
  if (own.waiting.empty() && !waited_lately) return Duration::zero();
  Duration forecast{0};
  if (!own.waiting.empty()) {
    const auto& [received, max_wait] = *own.waiting.begin();
    forecast = std::min(std::chrono::duration_cast<Duration>(now - received), max_wait);
  }
  const double admitted = own.admitted.At(now);
  // After a long pause the decayed sums are too small to divide.
  constexpr double kMinAdmitted = 1e-3;
  if (admitted < kMinAdmitted) return forecast;
  return std::max(forecast, Duration(std::llround(own.waits.At(now) / admitted)));
}

std::size_t WaitForecast::Waiting(Urgency urgency) const {
  return classes_[IndexOf(urgency, false)].waiting.size() +
         classes_[IndexOf(urgency, true)].waiting.size();
}

}  // namespace ridgehold
