#include "retry/retry_reservation.h"

#include "retry/sliding_retry_budget.h"

namespace ridgehold {

RetryReservation::~RetryReservation() {
  if (budget_ != nullptr) budget_->Release(service_);
}

bool RetryReservation::Consume(TimePoint now, const RetryStanding& standing) {
  if (budget_ == nullptr) return false;
  SlidingRetryBudget& budget = *std::exchange(budget_, nullptr);
  budget.Release(service_);
  return budget.TryConsume(service_, now, standing);
}

}  // namespace ridgehold
