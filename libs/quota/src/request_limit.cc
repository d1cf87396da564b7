#include "quota/request_limit.h"

#include <algorithm>

namespace ridgehold {
namespace {

// Without any request no instance would learn that a limit was lifted; one in 10 s is within every
// tolerance.
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
