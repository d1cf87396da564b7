#include "groups/group_demand.h"

#include <algorithm>
#include <cmath>
#include <numbers>

#include "decay.h"

namespace ridgehold {

bool IsPlausible(const DemandSample& sample) {
  // 400 gateways in front of 10,000 engines of 110 tokens/ms: below 3e6 tokens/s for each gateway.
  constexpr double kMaxValue = 3e9;
  const auto plausible = [](double value) { return value >= 0 && value <= kMaxValue; };
  return plausible(sample.interactive_running) && plausible(sample.interactive_rate) &&
         plausible(sample.bulk_rate);
}

void GroupDemand::OnStart(RequestGroup group, double tokens_to_prefill, TimePoint now) {
  Advance(now);
  if (!started_at_) started_at_ = now;
  constexpr double kPerSecond =
      std::numbers::ln2 / std::chrono::duration<double>(kHalfLife).count();
  const double rate = std::max(tokens_to_prefill, 0.0) * kPerSecond;
  if (group == RequestGroup::kBulk) {
    average_.bulk_rate += rate;
  } else {
    average_.interactive_rate += rate;
    ++running_;
  }
}

void GroupDemand::OnEnd(RequestGroup group, TimePoint now) {
  Advance(now);
  if (group == RequestGroup::kInteractive && running_ > 0) --running_;
}

DemandSample GroupDemand::Sample(TimePoint now) const {
  GroupDemand advanced = *this;
  advanced.Advance(now);
  DemandSample sample = advanced.average_;
  if (!started_at_) return sample;
  // Otherwise a fleet that starts would have too small a group for the first half-lives.
  const TimePoint counted_to = std::max(now, *started_at_ + std::chrono::seconds(1));
  const double counted = 1 - DecayFactor(*started_at_, counted_to, kHalfLife);
  sample.interactive_running /= counted;
  sample.interactive_rate /= counted;
  sample.bulk_rate /= counted;
  return sample;
}

void GroupDemand::Advance(TimePoint now) {
  const double kept = DecayFactor(advanced_at_, now, kHalfLife);
  average_.interactive_running = kept * average_.interactive_running + (1 - kept) * running_;
  average_.interactive_rate *= kept;
  average_.bulk_rate *= kept;
  advanced_at_ = std::max(advanced_at_, now);
}

}  // namespace ridgehold
