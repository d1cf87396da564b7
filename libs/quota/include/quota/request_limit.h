// A backend server's limit on requests as a quota.

#pragma once

#include <cstdint>

#include "quota/request_rate.h"
#include "quota/workspace_quota.h"

namespace ridgehold {

/// Tokens that a request counts, where requests are counted: rates have thousandths.
inline constexpr std::uint64_t kTokensOfRequest = RequestRate::kThousandths;

/// How far above its limit a backend server may be loaded, by the platform's rules.
struct LimitTolerance {
  double overage = 0.5;  ///< part of the limit
  double extra = 3;      ///< requests in a few seconds, beyond the first; one more is spare
  /// How much of both is used. Refusing a request that is tolerated helps no caller; the
  /// rest is for requests that are late on their way, and for those that nobody counts.
  double used_part = 0.75;
};

/// What instances grant together. `number` orders the words of one backend server.
QuotaTerms TermsOf(RequestRate limit, const LimitTolerance& tolerance, std::uint64_t number);

}  // namespace ridgehold
