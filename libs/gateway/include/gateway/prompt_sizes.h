// Tracks the average prompt length for each service.

#pragma once

#include <cstdint>
#include <map>

#include "base/ids.h"

namespace ridgehold {

/// An exponential moving average for each service. Not thread-safe.
class PromptSizes {
 public:
  void Record(const ServiceId& service, std::uint32_t tokens) {
    const auto [entry, is_new] = means_.try_emplace(service, tokens);
    if (!is_new) entry->second += kSmoothing * (tokens - entry->second);
  }

  /// Whether the prompt is much shorter than the average.
  bool IsSmall(const ServiceId& service, std::uint32_t tokens) const {
    const auto found = means_.find(service);
    return found != means_.end() && tokens < kSmallFraction * found->second;
  }

 private:
  /// The average covers about the last fifty requests.
  static constexpr double kSmoothing = 0.02;
  static constexpr double kSmallFraction = 0.5;

  std::map<ServiceId, double> means_;
};

}  // namespace ridgehold
