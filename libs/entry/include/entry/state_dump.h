// An entry instance's whole state as JSON, for operators.

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

/// What the gateway's own tables do not know.
struct InstanceFacts {
  DaemonId daemon;
  bool ready = false;
  bool holds_rollout = false;
  std::size_t connections = 0;                  ///< of callers
  std::map<std::string, std::string> settings;  ///< in force, by name
};

/// Returns the state at `now` as JSON text.
std::string DumpState(GatewayState& state, const InstanceFacts& facts, TimePoint now);

/// Returns the configured quotas, who holds the shares, and what was used of the share
/// that this instance holds, as JSON text.
std::string DumpQuotas(const GatewayState& state, const std::map<ZoneId, std::string>& holders,
                       std::span<const QuotaHolder::Usage> usages);

/// What backend servers have asked for, as this instance knows, and what was granted of
/// their limits here.
std::string DumpLimits(const GatewayState& state, const std::map<ZoneId, std::string>& holders,
                       std::span<const QuotaHolder::Usage> usages, TimePoint now);

/// Returns the quarantined requests as JSON text.
std::string DumpQuarantine(const PoisonGuard& guard, TimePoint now);

}  // namespace ridgehold
