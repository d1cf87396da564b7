#include "incarnation/connection_ends.h"

#include <algorithm>
#include <utility>

#include "incarnation/connection_end.h"

namespace ridgehold {
namespace {

// Servers state idle timeouts in whole seconds and may close somewhat earlier.
constexpr std::chrono::milliseconds kTimeoutMargin{500};
// No server that states no timeout closes connections earlier than this.
constexpr std::chrono::milliseconds kMinIdleTimeout{1'000};

bool ClosedEarly(const ConnectionEnd& end) {
  if (end.idle_timeout) return end.idle + kTimeoutMargin < *end.idle_timeout;
  return end.idle < kMinIdleTimeout;
}

/// A server also resets new connections beyond its limit.
bool BrokenInUse(const ConnectionEnd& end) { return end.alive_at > end.opened; }

}  // namespace

std::optional<ConnectionEnds::ProcessEnd> ConnectionEnds::Record(const ConnectionEnd& end,
                                                                 TimePoint now) {
  const bool tells = end.amid_exchange ? BrokenInUse(end) : ClosedEarly(end);
  if (!tells) return std::nullopt;
  if (now - group_.seen_at > kMaxSpread) group_ = {};
  group_.seen_at = now;
  group_.process.opened = std::max(group_.process.opened, end.opened);
  group_.process.alive_at = std::max(group_.process.alive_at, end.alive_at);
  group_.closed_early |= !end.amid_exchange;
  ++group_.ends;
  if (end.others_open || (group_.ends == 1 && !group_.closed_early)) return std::nullopt;
  return std::exchange(group_, {}).process;
}

}  // namespace ridgehold
