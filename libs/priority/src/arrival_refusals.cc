#include "priority/arrival_refusals.h"

#include <algorithm>

namespace ridgehold {

std::chrono::milliseconds RetryAfterForecast(Duration forecast, Duration objective,
                                             std::uint64_t request_hash) {
  constexpr double kMaxJitter = 0.5;
  const double jitter = static_cast<double>(request_hash) / static_cast<double>(UINT64_MAX);
  const Duration delay = std::max(forecast - 2 * objective, objective / 4);
  return std::chrono::ceil<std::chrono::milliseconds>(delay * (1 + kMaxJitter * jitter));
}

void ArrivalRefusals::Record(std::uint64_t fingerprint, std::chrono::milliseconds retry_after,
                             TimePoint now) {
  const TimePoint until = now + retry_after;
  until_[fingerprint] = until;
  order_.emplace_back(until, fingerprint);
  while (!order_.empty() && (order_.front().first <= now || order_.size() > kMaxRefusals)) {
    const auto& [ends, oldest] = order_.front();
    const auto found = until_.find(oldest);
    // A later refusal of the same request has another end.
    if (found != until_.end() && found->second == ends) until_.erase(found);
    order_.pop_front();
  }
}

std::optional<std::chrono::milliseconds> ArrivalRefusals::TimeLeft(std::uint64_t fingerprint,
                                                                   TimePoint now) const {
  const auto found = until_.find(fingerprint);
  if (found == until_.end() || found->second <= now) return std::nullopt;
  return std::chrono::ceil<std::chrono::milliseconds>(found->second - now);
}

}  // namespace ridgehold
