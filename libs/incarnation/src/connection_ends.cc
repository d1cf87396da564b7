#include "incarnation/connection_ends.h"

#include <algorithm>
#include <utility>

#include "incarnation/connection_end.h"

namespace ridgehold {
namespace {

// Servers state idle timeouts in whole seconds and may close somewhat earlier.
constexpr std::chrono::milliseconds kTimeoutMargin{500};

/// A server that states no idle timeout may have any.
bool ClosedEarly(const ConnectionEnd& end) {
  return !end.amid_exchange && end.idle_timeout && end.idle + kTimeoutMargin < *end.idle_timeout;
}

/// A server also resets new connections beyond its limit.
bool IsReset(const ConnectionEnd& end) { return end.amid_exchange && end.alive_at == end.opened; }

}  // namespace

std::optional<ConnectionEnds::ProcessEnd> ConnectionEnds::Record(const ConnectionEnd& end,
                                                                 TimePoint now) {
  if (IsReset(end)) return std::nullopt;
  const bool lived_on = end.alive_at > group_.seen_at;
  if (lived_on || now - group_.seen_at > kMaxSpread) group_ = {};
  if (group_.ends == 0) group_.seen_at = now;
  group_.process.opened = std::max(group_.process.opened, end.opened);
  group_.process.alive_at = std::max(group_.process.alive_at, end.alive_at);
  group_.closed_early |= ClosedEarly(end);
  group_.broken_in_use |= end.amid_exchange;
  ++group_.ends;
  const bool together = group_.broken_in_use && group_.ends > 1;
  if (end.others_open || !(group_.closed_early || together)) return std::nullopt;
  return std::exchange(group_, {}).process;
}

}  // namespace ridgehold
