// The services whose backend servers crash when they reject too many requests.

#pragma once

#include <chrono>
#include <map>
#include <optional>

#include "base/ids.h"
#include "rejection/rejection_limit.h"

namespace ridgehold {

/// Backend servers of a fragile service say so in every answer. What one server says holds for the
/// whole service until it has not been repeated for some time. Not thread-safe; takes the current
/// time as a parameter.
class FragileServices {
 public:
  /// A service whose servers no longer say that they are fragile counts as such for this long.
  static constexpr std::chrono::milliseconds kMemory{3'000};

  /// Records the limit in an answer. Returns whether the service was not fragile before.
  bool Record(const ServiceId& service, RejectionLimit limit, TimePoint now);

  /// Returns nothing if the service is not fragile.
  std::optional<RejectionLimit> LimitOf(const ServiceId& service, TimePoint now) const;

 private:
  struct Entry {
    RejectionLimit limit;
    TimePoint seen_at{};
  };

  std::map<ServiceId, Entry> services_;
};

}  // namespace ridgehold
