#include "idle_limits.h"

#include <algorithm>

#include "bounds.h"

namespace ridgehold::soak {
namespace {

/// The protocol lets callers use connections that have been idle for four fifths of the limit.
std::chrono::milliseconds Allowed(std::chrono::milliseconds limit) { return limit * 4 / 5; }

}  // namespace

void IdleLimits::Add(std::chrono::milliseconds limit, TimePoint now) {
  if (!entries_.empty()) entries_.back().replaced_at = now;
  entries_.push_back({limit, TimePoint::max()});
}

TimePoint IdleLimits::InForceUntil(const Entry& entry, TimePoint undisturbed_since) {
  if (entry.replaced_at == TimePoint::max()) return entry.replaced_at;
  // The bound of configuration holds for instances that have run for the time of contact.
  return std::max(entry.replaced_at + kConfigLimit, undisturbed_since + kContact);
}

bool IdleLimits::AllowIdling(TimePoint idle_since, TimePoint sent,
                             TimePoint undisturbed_since) const {
  return std::ranges::all_of(entries_, [&](const Entry& entry) {
    const TimePoint judged = std::min(sent, InForceUntil(entry, undisturbed_since));
    return judged - idle_since <= Allowed(entry.limit);
  });
}

std::chrono::milliseconds IdleLimits::LongestIdleTime(TimePoint now,
                                                      TimePoint undisturbed_since) const {
  std::chrono::milliseconds longest = Allowed(entries_.back().limit);
  for (const Entry& entry : entries_) {
    if (InForceUntil(entry, undisturbed_since) < now) continue;
    longest = std::min(longest, Allowed(entry.limit));
  }
  return longest;
}

}  // namespace ridgehold::soak
