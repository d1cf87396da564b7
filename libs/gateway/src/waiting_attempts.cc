#include "gateway/waiting_attempts.h"

#include <algorithm>
#include <utility>

namespace ridgehold {

void WaitingAttempts::Add(std::optional<Ticket>& ticket, const WeightsAsked& asked,
                          Attempts::Withdraw withdraw) {
  attempts_.Add(ticket, asked, std::move(withdraw));
  if (const auto bound = BoundOf(asked)) ArmFor(*bound);
}

void WaitingAttempts::Review() {
  armed_for_.reset();
  const TimePoint now = Clock::now();
  std::optional<TimePoint> next;
  attempts_.WithdrawIf([&](const WeightsAsked& asked) {
    const auto bound = BoundOf(asked);
    if (bound && now < *bound) next = next ? std::min(*next, *bound) : *bound;
    return bound && now >= *bound;
  });
  if (next) ArmFor(*next);
}

void WaitingAttempts::SetLimit(std::chrono::milliseconds limit) {
  limit_ = limit;
  Review();
}

std::optional<TimePoint> WaitingAttempts::BoundOf(const WeightsAsked& asked) const {
  const auto outdated = named_.SupersededSince(asked.model, asked.weights);
  return outdated ? std::optional(*outdated + limit_) : std::nullopt;
}

void WaitingAttempts::ArmFor(TimePoint bound) {
  if (armed_for_ && *armed_for_ <= bound) return;
  armed_for_ = bound;
  timer_.expires_at(bound);
  timer_.async_wait([this](const ErrorCode& error) {
    if (!error) Review();
  });
}

}  // namespace ridgehold
