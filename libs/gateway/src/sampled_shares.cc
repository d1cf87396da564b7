#include "gateway/sampled_shares.h"

namespace ridgehold {

void SampledShares::Record(std::uint64_t first_part, double tokens, double total, TimePoint now) {
  if (total <= 0) return;
  if (now - decayed_at_ >= kHalfLife) {
    Decay();
    decayed_at_ = now;
  }
  Sample& sample = samples_[first_part];
  sample.tokens += tokens;
  sample.total += total;
}

RingSegment SampledShares::SegmentOf(std::uint64_t first_part) const {
  const auto own = samples_.find(first_part);
  if (own == samples_.end() || own->second.share() <= 0) return {};
  double before = 0;
  double all = 0;
  for (const auto& [other_part, sample] : samples_) {
    if (other_part < first_part) before += sample.share();
    all += sample.share();
  }
  return {before / all, own->second.share() / all};
}

void SampledShares::Decay() {
  constexpr double kMinTokens = 1'000;  // tokens; one prompt of one gateway adds more
  for (auto& [first_part, sample] : samples_) {
    sample.tokens /= 2;
    sample.total /= 2;
  }
  std::erase_if(samples_, [](const auto& entry) { return entry.second.total < kMinTokens; });
}

}  // namespace ridgehold
