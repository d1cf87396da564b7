#include "retry_check.h"

#include <algorithm>

#include "bounds.h"

namespace ridgehold::soak {
namespace {

std::size_t CountWithin(const std::vector<TimePoint>& times, TimePoint from,
                        Clock::duration length) {
  const auto begin = std::ranges::lower_bound(times, from);
  const auto end = std::ranges::lower_bound(times, from + length);
  return static_cast<std::size_t>(std::max<std::ptrdiff_t>(0, end - begin));
}

}  // namespace

void RetryCheck::Arrived(const std::string& request) {
  if (!arrived_.insert(request).second) retries_.push_back(Clock::now());
}

std::size_t RetryCheck::RequestsFor(TimePoint from) const {
  return std::max({CountWithin(sent_, from, kRetryWindow),
                   CountWithin(sent_, from - kRetryWindow / 2, kRetryWindow),
                   CountWithin(sent_, from - kRetryWindow, kRetryWindow)});
}

void RetryCheck::Judge() {
  for (const TimePoint from : retries_) {
    const std::size_t retries = CountWithin(retries_, from, kRetryWindow);
    const std::size_t requests = RequestsFor(from);
    const double allowed = kRetryRatio * static_cast<double>(requests) + kRetrySlack;
    if (static_cast<double>(retries) <= allowed) continue;
    return verdict_.Fail(
        "too many retries", "all",
        std::to_string(retries) + " for " + std::to_string(requests) + " requests in a window");
  }
}

}  // namespace ridgehold::soak
