#include "retry/sliding_retry_budget.h"

#include <algorithm>
#include <numeric>

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
  counters_[service].requests.Add(StepAt(now));
}

bool SlidingRetryBudget::TryConsume(const ServiceId& service, TimePoint now) {
  if (Available(service, now) < 1) return false;
  counters_[service].retries.push_back(now);
  return true;
}

double SlidingRetryBudget::Available(const ServiceId& service, TimePoint now) {
  Counters& counters = counters_[service];
  const double earned = limits_.ratio * counters.requests.Sum(StepAt(now));
  // At least one retry: in a large fleet every share would round down to none.
  const double allowed = std::max(1.0, kUsedFraction * (limits_.slack / Sharers(now) + earned));
  auto& retries = counters.retries;
  while (!retries.empty() && now - retries.front() > CountedSpan()) retries.pop_front();
  return std::max(0.0, allowed - static_cast<double>(retries.size()));
}

std::int64_t SlidingRetryBudget::StepAt(TimePoint now) const {
  const auto step = std::chrono::duration_cast<Clock::duration>(limits_.window) / kSteps;
  return now.time_since_epoch() / step;
}

}  // namespace ridgehold
