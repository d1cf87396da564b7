#include "gateway/queued_attempts.h"

#include <algorithm>
#include <utility>

namespace ridgehold {

void QueuedAttempts::Add(std::optional<Ticket>& ticket, const RequiredWeights& asked,
                         Attempts::Withdraw withdraw) {
  attempts_.Add(ticket, asked, std::move(withdraw));
  if (const auto bound = BoundOf(asked)) ArmFor(*bound);
}

void QueuedAttempts::Review() {
  armed_for_.reset();
  const TimePoint now = Clock::now();
  std::optional<TimePoint> next;
  attempts_.CancelIf([&](const RequiredWeights& asked) {
    const auto bound = BoundOf(asked);
    if (bound && now < *bound) next = next ? std::min(*next, *bound) : *bound;
    return bound && now >= *bound;
  });
  if (next) ArmFor(*next);
}

void QueuedAttempts::SetLimit(std::chrono::milliseconds limit) {
  limit_ = limit;
  Review();
}

std::optional<TimePoint> QueuedAttempts::BoundOf(const RequiredWeights& asked) const {
  const auto outdated = named_.SupersededSince(asked.model, asked.weights);
  return outdated ? std::optional(*outdated + limit_) : std::nullopt;
}

void QueuedAttempts::ArmFor(TimePoint bound) {
  if (armed_for_ && *armed_for_ <= bound) return;
  armed_for_ = bound;
  timer_.expires_at(bound);
  timer_.async_wait([this](const ErrorCode& error) {
    if (!error) Review();
  });
}

}  // namespace ridgehold
