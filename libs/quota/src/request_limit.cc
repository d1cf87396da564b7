#include "quota/request_limit.h"

#include <algorithm>

namespace ridgehold {
namespace {

// Without any request nobody would find out that a limit has ended; one in 10 s is
// within every tolerance.
constexpr RequestRate kLeastRate = RequestRate::OfThousandths(100);

}  // namespace

QuotaTerms TermsOf(RequestRate limit, const LimitTolerance& tolerance, std::uint64_t number) {
  const double more = 1 + tolerance.used_part * tolerance.overage;
  const double rate = more * std::max(limit, kLeastRate).thousandths();
  const double burst = kTokensOfRequest * (1 + tolerance.used_part * tolerance.extra);
  const QuotaRate granted{static_cast<std::uint64_t>(rate), static_cast<std::uint64_t>(burst)};
  return {number, granted, granted};
}

}  // namespace ridgehold
