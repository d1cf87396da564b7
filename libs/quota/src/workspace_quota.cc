#include "quota/workspace_quota.h"

#include <algorithm>

namespace ridgehold {
namespace {

// Burst of a workspace with sustained traffic: one or two of the longest prompts that callers send
// (about 15,000 tokens), or 1/64 of what the tolerance window allows if that is more; in a window
// of 8 s, that is about an eighth of a second's worth.
constexpr double kMinSteadyBurst = 16'000;
constexpr double kSteadyBurstFraction = 1.0 / 64;

}  // namespace

QuotaLimits EffectiveLimits(const WorkspaceQuota& quota, const QuotaTolerance& tolerance,
                            std::uint64_t config_version) {
  const double factor = 1 + tolerance.granted_fraction * tolerance.overage;
  const double slack = tolerance.granted_fraction * static_cast<double>(tolerance.slack);
  const double rate = factor * static_cast<double>(quota.rate);
  const double burst = factor * static_cast<double>(quota.burst) + slack;
  QuotaLimits limits;
  limits.config_version = config_version;
  limits.bursting = {static_cast<std::uint64_t>(rate), static_cast<std::uint64_t>(burst)};
  limits.steady = limits.bursting;
  const double seconds = std::chrono::duration<double>(tolerance.window).count();
  if (seconds <= 0) return limits;
  // Both limits allow the same amount in a window.
  const double allowed = rate * seconds + burst;
  const double steady_burst =
      std::min(burst, std::max(kMinSteadyBurst, kSteadyBurstFraction * allowed));
  limits.steady = {static_cast<std::uint64_t>((allowed - steady_burst) / seconds),
                   static_cast<std::uint64_t>(steady_burst)};
  return limits;
}

}  // namespace ridgehold
