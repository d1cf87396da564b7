// A retry that is granted and not yet sent.

#pragma once

#include <utility>

#include "base/ids.h"
#include "retry/retry_standing.h"

namespace ridgehold {

class SlidingRetryBudget;

/// Keeps one retry of the budget from others until it is sent or given up. The budget must outlive
/// it.
class RetryReservation {
 public:
  RetryReservation(SlidingRetryBudget& budget, ServiceId service)
      : budget_(&budget), service_(std::move(service)) {}
  RetryReservation(RetryReservation&& other) noexcept
      : budget_(std::exchange(other.budget_, nullptr)), service_(std::move(other.service_)) {}
  RetryReservation& operator=(RetryReservation&& other) noexcept {
    std::swap(budget_, other.budget_);
    std::swap(service_, other.service_);
    return *this;
  }
  ~RetryReservation();

  /// Consumes the retry, which is sent at `now`. Returns false if the budget no longer allows it:
  /// time may have passed since the grant.
  bool Consume(TimePoint now, const RetryStanding& standing);

 private:
  SlidingRetryBudget* budget_;  ///< null once consumed or moved from
  ServiceId service_;
};

}  // namespace ridgehold
