#include "gateway/queued_attempts.h"

#include <algorithm>
#include <utility>

namespace ridgehold {

void QueuedAttempts::Add(std::optional<Ticket>& ticket, const RequiredWeights& required,
                         Attempts::CancelCallback cancel) {
  attempts_.Add(ticket, required, std::move(cancel));
  if (const auto deadline = DeadlineOf(required)) ArmFor(*deadline);
}

void QueuedAttempts::CancelExpired() {
  armed_for_.reset();
  const TimePoint now = Clock::now();
  std::optional<TimePoint> next;
  attempts_.CancelIf([&](const RequiredWeights& required) {
    const auto deadline = DeadlineOf(required);
    if (deadline && now < *deadline) next = next ? std::min(*next, *deadline) : *deadline;
    return deadline && now >= *deadline;
  });
  if (next) ArmFor(*next);
}

void QueuedAttempts::SetLimit(std::chrono::milliseconds limit) {
  limit_ = limit;
  CancelExpired();
}

std::optional<TimePoint> QueuedAttempts::DeadlineOf(const RequiredWeights& required) const {
  const auto outdated = named_.SupersededSince(required.model, required.weights);
  return outdated ? std::optional(*outdated + limit_) : std::nullopt;
}

void QueuedAttempts::ArmFor(TimePoint deadline) {
  if (armed_for_ && *armed_for_ <= deadline) return;
  armed_for_ = deadline;
  timer_.expires_at(deadline);
  timer_.async_wait([this](const ErrorCode& error) {
    if (!error) CancelExpired();
  });
}

}  // namespace ridgehold
