// A backend server's request rate limit, expressed as a quota.

#pragma once

#include <cstdint>

#include "quota/request_rate.h"
#include "quota/workspace_quota.h"

namespace ridgehold {

/// Tokens that one request costs in a request quota; rates have a resolution of 1/1000 request.
inline constexpr std::uint64_t kQuotaTokensPerRequest = RequestRate::kThousandthsPerRequest;

/// How far the platform's rules let the load of a backend server exceed its limit.
struct LimitTolerance {
  double overage = 0.5;  ///< fraction of the limit
  double extra_requests =
      3;  ///< requests in a few seconds, beyond the first; one more is a reserve
  /// Fraction of both that is used. Refusing a tolerated request helps no caller; the rest is
  /// reserved for requests that arrive late and for those that are not counted.
  double used_fraction = 0.75;
};

/// Returns what all instances together may grant. `number` is the version of the backend server's
/// limit.
QuotaLimits EffectiveLimits(RequestRate limit, const LimitTolerance& tolerance,
                            std::uint64_t number);

}  // namespace ridgehold
