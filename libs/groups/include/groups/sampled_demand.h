// Estimates the demand of a whole fleet from samples of some of its gateways.

#pragma once

#include <chrono>
#include <cstdint>

#include "base/ids.h"
#include "groups/group_demand.h"

namespace ridgehold {

/// The answers to load queries contain the demand of the answering gateways. With four answers to
/// each of seven queries per second, a gateway of a fleet of 85 hears of most others within one
/// half-life. A sampling error is harmless, because the group's size has slack. Not thread-safe;
/// the caller passes in the time.
class SampledDemand {
 public:
  /// That of GroupDemand: both average over the same requests.
  static constexpr std::chrono::seconds kHalfLife = GroupDemand::kHalfLife;

  /// Records the demand of another gateway.
  void Record(const DemandSample& sample, TimePoint now);

  /// The demand of all gateways: this one's own, and for each of the others the average of the
  /// samples. Without recent samples the others are assumed to have the same as this one.
  DemandSample FleetTotal(const DemandSample& own, std::uint32_t gateways, TimePoint now) const;

 private:
  /// The weight of one sample after two half-lives. Below it the samples are too old to follow.
  static constexpr double kMinWeight = 0.25;

  DemandSample sum_;  ///< weighted
  double weight_ = 0;
  TimePoint decayed_at_{};
};

}  // namespace ridgehold
