// Pushback that a backend server signals in a response head.

#pragma once

#include <chrono>
#include <optional>

#include "quota/request_rate.h"
#include "rejection/rejection_limit.h"

namespace ridgehold {

/// Pushback in one response. A backend server repeats it in each response for as long as it
/// applies.
struct BackendPushback {
  /// Request rate that it accepts from all instances together; empty: no limit.
  std::optional<RequestRate> limit;
  bool limit_malformed = false;  ///< a limit is present but cannot be parsed
  bool leaving = false;          ///< it shuts down soon and must get no new requests
  /// It rejected the request and asks this instance to back off for this long.
  std::optional<std::chrono::milliseconds> backoff;
  /// Rejections per second that it bears, if the servers of its service are fragile.
  std::optional<RejectionLimit> rejection_limit{};

  bool operator==(const BackendPushback&) const = default;
};

}  // namespace ridgehold
