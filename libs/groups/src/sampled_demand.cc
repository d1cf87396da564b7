#include "groups/sampled_demand.h"

#include <algorithm>

#include "decay.h"

namespace ridgehold {
namespace {

DemandSample Combine(const DemandSample& a, double factor_a, const DemandSample& b,
                     double factor_b) {
  return {factor_a * a.interactive_running + factor_b * b.interactive_running,
          factor_a * a.interactive_rate + factor_b * b.interactive_rate,
          factor_a * a.bulk_rate + factor_b * b.bulk_rate};
}

}  // namespace

void SampledDemand::Record(const DemandSample& sample, TimePoint now) {
  const double kept = DecayFactor(decayed_at_, now, kHalfLife);
  sum_ = Combine(sum_, kept, sample, 1);
  weight_ = kept * weight_ + 1;
  decayed_at_ = std::max(decayed_at_, now);
}

DemandSample SampledDemand::FleetTotal(const DemandSample& own, std::uint32_t gateways,
                                       TimePoint now) const {
  const double others = gateways > 1 ? gateways - 1 : 0;
  if (weight_ * DecayFactor(decayed_at_, now, kHalfLife) < kMinWeight) {
    return Combine(own, 1 + others, {}, 0);
  }
  return Combine(own, 1, sum_, others / weight_);
}

}  // namespace ridgehold
