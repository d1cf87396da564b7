// Forecasts how long a request that arrives now would wait at this gateway.

#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <utility>

#include "base/ids.h"
#include "priority/decayed_sum.h"
#include "priority/urgency.h"

namespace ridgehold {

/// The forecast for the requests of one service, by urgency and over-share: the maximum of the age
/// of the oldest waiting request and of the average wait of the requests admitted recently. The age
/// counts up to that request's own maximum wait, at which it is sent: the delay until its next poll
/// says nothing about a new request, which is ahead of late ones. Must outlive its tickets. Not
/// thread-safe; the caller passes in the time.
class WaitForecast {
 public:
  /// Registers a waiting request while it lives.
  class Ticket {
   public:
    Ticket(WaitForecast& forecast, const RequestOrder& order, TimePoint received);
    ~Ticket();

    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;

   private:
    std::multiset<std::pair<TimePoint, Duration>>& waiting_;
    std::multiset<std::pair<TimePoint, Duration>>::iterator entry_;
  };

  /// Records a request that was admitted, with or without a wait.
  void RecordAdmitted(const RequestOrder& order, bool has_waited, Duration wait, TimePoint now);

  /// Zero if no request of the class waits and none was admitted after a wait in the last second.
  Duration ForecastFor(const RequestOrder& order, TimePoint now) const;

  std::size_t Waiting(Urgency urgency) const;

 private:
  static constexpr std::chrono::seconds kHalfLife{1};

  struct Class {
    /// Arrival times and maximum waits.
    std::multiset<std::pair<TimePoint, Duration>> waiting;
    DecayedSum waits{kHalfLife};  ///< in microseconds
    DecayedSum admitted{kHalfLife};
    TimePoint last_wait_ended{};
  };

  static std::size_t IndexOf(Urgency urgency, bool over_share) {
    return (urgency == Urgency::kPatient ? 2 : 0) + (over_share ? 1 : 0);
  }
  Class& ClassOf(const RequestOrder& order) {
    return classes_[IndexOf(order.urgency, order.over_share)];
  }

  std::array<Class, 4> classes_;
};

/// The forecasts of a gateway, by service.
using WaitForecasts = std::map<ServiceId, WaitForecast>;

}  // namespace ridgehold
