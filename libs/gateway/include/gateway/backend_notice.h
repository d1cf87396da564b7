// What a backend server says of itself in the head of an answer.

#pragma once

#include <chrono>
#include <optional>

#include "quota/request_rate.h"

namespace ridgehold {

/// One answer's words. A backend server in need repeats them in each answer, for as
/// long as they hold.
struct BackendNotice {
  /// What it takes of all instances together; none: it names no limit.
  std::optional<RequestRate> limit;
  bool limit_unreadable = false;  ///< it names one, and nobody knows which
  bool leaving = false;           ///< it ends soon, and is to get nothing new
  /// It refused, and wants nothing from this instance for so long.
  std::optional<std::chrono::milliseconds> rest;

  bool operator==(const BackendNotice&) const = default;
};

}  // namespace ridgehold
