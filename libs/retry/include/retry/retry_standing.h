// What a gateway may assume about the retries of other processes.

#pragma once

#include <optional>
#include <string>

#include "base/ids.h"

namespace ridgehold {

/// Retries of other processes count against the same limit. Each part of the budget may be spent
/// only while it is certain that no other process spends it, too.
struct RetryStanding {
  /// All other gateways have counted this one for a window, so its share of the slack is its own.
  bool has_share = true;
  /// A record in the store outlasts the window of a retry sent now, so that a later process of this
  /// gateway waits for the end of that window.
  bool recorded = true;
  /// An earlier process of this gateway has left such a record.
  bool predecessor_counts = false;

  bool operator==(const RetryStanding&) const = default;
};

/// Facts from which a RetryStanding follows.
struct RetryStandingInput {
  TimePoint process_started{};
  std::optional<TimePoint> member_since;  ///< start of the membership; none: certainly not held
  bool recorded = false;                  ///< see RetryStanding
  bool predecessor_recorded = false;      ///< a record of an earlier process is in the store
  Duration counted_span{0};               ///< see SlidingRetryBudget::CountedSpan()
};

RetryStanding RetryStandingOf(const RetryStandingInput& input, TimePoint now);

/// Names what holds, for log lines.
std::string ToText(const RetryStanding& standing);

}  // namespace ridgehold
