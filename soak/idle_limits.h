// How long callers may keep connections idle, as the operator has ordered it.

#pragma once

#include <chrono>
#include <vector>

#include "sleep.h"

namespace ridgehold::soak {

/// The idle limits of all configurations, with the time for which each may be in force.
class IdleLimits {
 public:
  /// The store has taken a configuration.
  void Add(std::chrono::milliseconds limit, TimePoint now);

  /// Whether a connection idle from `idle_since` to `sent` has stayed within four fifths of each
  /// limit that may have been in force. `undisturbed_since`: when the instance was last started or
  /// continued.
  bool AllowIdling(TimePoint idle_since, TimePoint sent, TimePoint undisturbed_since) const;

  /// How long a connection that becomes idle now may stay so.
  std::chrono::milliseconds LongestIdleTime(TimePoint now, TimePoint undisturbed_since) const;

 private:
  struct Entry {
    std::chrono::milliseconds limit;
    TimePoint replaced_at;  ///< when the store took the next configuration
  };

  static TimePoint InForceUntil(const Entry& entry, TimePoint undisturbed_since);

  std::vector<Entry> entries_;
};

}  // namespace ridgehold::soak
