#include "quota/request_limit.h"

#include <algorithm>

namespace ridgehold {
namespace {

// Minimum rate in force. If no request were sent, no instance would learn that a limit was lifted;
// one request in 10 s is within the tolerance of any limit.
constexpr RequestRate kMinRate = RequestRate::FromThousandths(100);

}  // namespace

QuotaLimits EffectiveLimits(RequestRate limit, const LimitTolerance& tolerance,
                            std::uint64_t number) {
  const double factor = 1 + tolerance.used_fraction * tolerance.overage;
  const double rate = factor * std::max(limit, kMinRate).thousandths();
  const double burst =
      kQuotaTokensPerRequest * (1 + tolerance.used_fraction * tolerance.extra_requests);
  const RateLimit granted{static_cast<std::uint64_t>(rate), static_cast<std::uint64_t>(burst)};
  return {number, granted, granted};
}

}  // namespace ridgehold
