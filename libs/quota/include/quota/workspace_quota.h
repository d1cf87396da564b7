// A workspace's quota as configured by the operator.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace ridgehold {

enum class QuotaUnit : std::uint8_t { kRequests, kTokens };

/// A rate and a burst that apply to all instances together. Tokens stand for requests if the unit
/// is kRequests.
struct WorkspaceQuota {
  QuotaUnit unit = QuotaUnit::kRequests;
  std::uint64_t rate = 0;   ///< tokens per second
  std::uint64_t burst = 0;  ///< tokens beyond the rate after an idle period
  /// Cost of a request that does not state its token count.
  std::uint64_t default_tokens = 0;

  /// Returns the cost of a request. `tokens` are those of its prompt plus the most it may generate;
  /// nullopt if the request does not state them.
  std::uint64_t CostOf(std::optional<std::uint64_t> tokens) const {
    return unit == QuotaUnit::kRequests ? 1 : tokens.value_or(default_tokens);
  }
};

/// A rate and the burst allowed on top of it.
struct RateLimit {
  std::uint64_t tokens_per_s = 0;
  std::uint64_t burst = 0;

  bool operator==(const RateLimit&) const = default;
};

/// The limits in force for a quota, as of one version of the configuration. Instances learn of a
/// version at different times; the highest version seen applies.
///
/// The amount granted in any window is at most what the more permissive of the two limits allows.
struct QuotaLimits {
  std::uint64_t config_version = 0;
  RateLimit bursting;  ///< for a workspace that sends bursts after idle periods
  RateLimit steady;    ///< for a workspace with sustained traffic

  bool operator==(const QuotaLimits&) const = default;
};

/// How far the operator lets a workspace exceed its quota.
struct QuotaTolerance {
  std::chrono::milliseconds window{0};  ///< window of the tolerance; 0: no tolerance
  double overage = 0;                   ///< fraction of the quota
  std::uint64_t slack = 0;              ///< tokens in each window
  /// Fraction of both that is granted. Refusing a tolerated request helps nobody; the rest is
  /// reserved for requests whose start or end the operator counts at a different time.
  double granted_fraction = 0.98;
};

/// Returns the limits to enforce for a quota, with the tolerance included.
QuotaLimits EffectiveLimits(const WorkspaceQuota& quota, const QuotaTolerance& tolerance,
                            std::uint64_t config_version);

}  // namespace ridgehold
