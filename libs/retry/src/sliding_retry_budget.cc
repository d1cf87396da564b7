#include "retry/sliding_retry_budget.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace ridgehold {

void SlidingRetryBudget::WindowCounter::Add(std::int64_t step) {
  Advance(step);
  ++counts_[static_cast<std::size_t>(step) % kSteps];
}

double SlidingRetryBudget::WindowCounter::Sum(std::int64_t step) {
  Advance(step);
  return std::accumulate(counts_.begin(), counts_.end(), 0.0);
}

void SlidingRetryBudget::WindowCounter::Advance(std::int64_t step) {
  const std::int64_t first = std::max(newest_ + 1, step - static_cast<std::int64_t>(kSteps) + 1);
  for (std::int64_t passed = first; passed <= step; ++passed) {
    counts_[static_cast<std::size_t>(passed) % kSteps] = 0;
  }
  newest_ = std::max(newest_, step);
}

void SlidingRetryBudget::SetGateways(std::uint32_t gateways, TimePoint now) {
  GatewayCount latest{std::max(gateways, 1U), now};
  while (!gateway_counts_.empty() && gateway_counts_.back().count <= latest.count) {
    latest.since = gateway_counts_.back().since;
    gateway_counts_.pop_back();
  }
  gateway_counts_.push_back(latest);
}

std::uint32_t SlidingRetryBudget::Sharers(TimePoint now) {
  if (gateway_counts_.empty()) return 1;
  while (gateway_counts_.size() > 1 && now - gateway_counts_[1].since > CountedSpan()) {
    gateway_counts_.pop_front();
  }
  return gateway_counts_.front().count;
}

void SlidingRetryBudget::RecordRequest(const ServiceId& service, TimePoint now) {
  Counters& counters = counters_[service];
  counters.requests.Add(StepAt(now));
  counters.tokens =
      std::min(counters.tokens + kUsedFraction * limits_.ratio, BucketSize(now, RetryStanding()));
}

std::optional<RetryReservation> SlidingRetryBudget::TryReserve(const ServiceId& service,
                                                               TimePoint now,
                                                               const RetryStanding& standing) {
  if (Available(service, now, standing) < 1) return std::nullopt;
  ++counters_[service].reserved;
  return std::optional<RetryReservation>(std::in_place, *this, service);
}

bool SlidingRetryBudget::TryConsume(const ServiceId& service, TimePoint now,
                                    const RetryStanding& standing) {
  if (Available(service, now, standing) < 1) return false;
  Counters& counters = counters_[service];
  counters.retries.push_back(now);
  counters.tokens = std::max(0.0, std::min(counters.tokens, BucketSize(now, standing)) - 1);
  return true;
}

double SlidingRetryBudget::Available(const ServiceId& service, TimePoint now,
                                     const RetryStanding& standing) {
  if (standing.predecessor_counts) return 0;
  Counters& counters = counters_[service];
  const double earned = kUsedFraction * limits_.ratio * counters.requests.Sum(StepAt(now));
  const double share = standing.has_share ? Share(now) : 0;
  // At least one retry: in a large fleet every share would round down to none.
  const double allowed = std::max(1.0, share + earned);
  auto& retries = counters.retries;
  while (!retries.empty() && now - retries.front() > CountedSpan()) retries.pop_front();
  double available = allowed - static_cast<double>(retries.size());
  if (!standing.recorded) {
    available = std::min({available, counters.tokens, BucketSize(now, standing)});
  }
  return std::max(0.0, available - counters.reserved);
}

double SlidingRetryBudget::Share(TimePoint now) {
  return kUsedFraction * limits_.slack / Sharers(now);
}

double SlidingRetryBudget::BucketSize(TimePoint now, const RetryStanding& standing) {
  return std::max(1.0, standing.has_share ? Share(now) : 0.0);
}

std::int64_t SlidingRetryBudget::StepAt(TimePoint now) const {
  const auto step = std::chrono::duration_cast<Clock::duration>(limits_.window) / kSteps;
  return now.time_since_epoch() / step;
}

}  // namespace ridgehold
