#include "gateway/waiting_attempts.h"

#include <utility>
#include <vector>

namespace ridgehold {

void WaitingAttempts::Add(std::optional<Ticket>& ticket, const ModelId& model,
                          WeightsNumber weights, Withdraw withdraw) {
  const std::uint64_t number = ++last_number_;
  const Entry& entry = entries_[number] = {model, weights, std::move(withdraw)};
  ticket.emplace(*this, number);
  const auto bound = BoundOf(entry);
  if (bound && (!armed_for_ || *bound < *armed_for_)) ArmFor(*bound);
}

void WaitingAttempts::Review() {
  armed_for_.reset();
  const TimePoint now = Clock::now();
  std::optional<TimePoint> next;
  std::vector<std::uint64_t> overdue;
  for (const auto& [number, entry] : entries_) {
    const auto bound = BoundOf(entry);
    if (!bound) continue;
    if (now >= *bound) {
      overdue.push_back(number);
    } else if (!next || *bound < *next) {
      next = bound;
    }
  }
  if (next) ArmFor(*next);
  for (const std::uint64_t number : overdue) {
    auto entry = entries_.extract(number);
    if (!entry.empty()) entry.mapped().withdraw();
  }
}

void WaitingAttempts::SetLimit(std::chrono::milliseconds limit) {
  limit_ = limit;
  Review();
}

std::optional<TimePoint> WaitingAttempts::BoundOf(const Entry& entry) const {
  const auto outdated = named_.OutdatedSince(entry.model, entry.weights);
  return outdated ? std::optional(*outdated + limit_) : std::nullopt;
}

void WaitingAttempts::ArmFor(TimePoint bound) {
  armed_for_ = bound;
  timer_.expires_at(bound);
  timer_.async_wait([this](const ErrorCode& error) {
    if (!error) Review();
  });
}

}  // namespace ridgehold
