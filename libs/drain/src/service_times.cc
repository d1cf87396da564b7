#include "drain/service_times.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace ridgehold {

void ServiceTimes::Record(const RuleId& route, Duration time) {
  if (routes_.size() >= kMaxRoutes && !routes_.contains(route)) routes_.erase(routes_.begin());
  Samples& samples = routes_[route];
  samples.times[samples.recorded++ % kSamples] = time;
}

std::optional<Duration> ServiceTimes::Quantile(const RuleId& route, double quantile) const {
  const auto found = routes_.find(route);
  if (found == routes_.end()) return std::nullopt;
  const Samples& samples = found->second;
  const std::size_t count = std::min(samples.recorded, kSamples);
  std::vector<Duration> times(samples.times.begin(),
                              samples.times.begin() + static_cast<std::ptrdiff_t>(count));
  const auto rank = std::lround(std::clamp(quantile, 0.0, 1.0) * static_cast<double>(count - 1));
  std::nth_element(times.begin(), times.begin() + rank, times.end());
  return times[static_cast<std::size_t>(rank)];
}

}  // namespace ridgehold
