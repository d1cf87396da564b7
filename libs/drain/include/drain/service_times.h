// How long the recent requests of each route took.

#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <optional>

#include "base/ids.h"

namespace ridgehold {

/// Keeps the last kSamples times of each route. Not thread-safe.
class ServiceTimes {
 public:
  static constexpr std::size_t kSamples = 64;

  /// Records the time from the arrival of a request to the end of its response.
  void Record(const RuleId& route, Duration time);

  /// The time that the fraction `quantile` (0 to 1) of the route's last requests did not exceed;
  /// nullopt if there was none.
  std::optional<Duration> Quantile(const RuleId& route, double quantile) const;

 private:
  /// Routes come and go with configurations.
  static constexpr std::size_t kMaxRoutes = 1'000;

  struct Samples {
    std::array<Duration, kSamples> times{};
    std::size_t recorded = 0;
  };

  std::map<RuleId, Samples> routes_;
};

}  // namespace ridgehold
