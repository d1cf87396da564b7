// Formats the state of an entry instance as JSON for operators.

#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <string>

#include "base/ids.h"
#include "quota/quota_holder.h"

namespace ridgehold {

class GatewayState;
class PoisonGuard;

/// The part of an instance's status that is not in GatewayState.
struct InstanceStatus {
  DaemonId daemon;
  bool ready = false;
  bool holds_rollout = false;
  std::size_t connections = 0;                  ///< open connections from callers
  std::map<std::string, std::string> settings;  ///< effective values, by name
};

/// Returns the state at `now` as JSON text.
std::string DumpState(GatewayState& state, const InstanceStatus& status, TimePoint now);

/// Returns the configured quotas, the holders of their shares by zone, and the usage of the share
/// that this instance holds, as JSON text.
std::string DumpQuotas(const GatewayState& state, const std::map<ZoneId, std::string>& holders,
                       std::span<const QuotaHolder::Usage> usages);

/// Returns the backend notices known to this instance (rate limits, cool-downs, draining) and the
/// grants that this instance made from backend servers' limits, as JSON text.
std::string DumpLimits(const GatewayState& state, const std::map<ZoneId, std::string>& holders,
                       std::span<const QuotaHolder::Usage> usages, TimePoint now);

/// Returns the quarantined requests as JSON text.
std::string DumpQuarantine(const PoisonGuard& guard, TimePoint now);

}  // namespace ridgehold
