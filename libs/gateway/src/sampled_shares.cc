#include "gateway/sampled_shares.h"

namespace ridgehold {

void SampledShares::Record(std::uint64_t first, double tokens, double total, TimePoint now) {
  if (total <= 0) return;
  if (now - halved_ >= kHalfLife) {
    Halve();
    halved_ = now;
  }
  Sample& sample = samples_[first];
  sample.tokens += tokens;
  sample.total += total;
}

RingSegment SampledShares::SegmentOf(std::uint64_t first) const {
  const auto own = samples_.find(first);
  if (own == samples_.end() || own->second.share() <= 0) return {};
  double before = 0;
  double all = 0;
  for (const auto& [beginning, sample] : samples_) {
    if (beginning < first) before += sample.share();
    all += sample.share();
  }
  return {before / all, own->second.share() / all};
}

void SampledShares::Halve() {
  constexpr double kForgotten = 1'000;  // tokens; a prompt of one gateway brings more
  for (auto& [first, sample] : samples_) {
    sample.tokens /= 2;
    sample.total /= 2;
  }
  std::erase_if(samples_, [](const auto& entry) { return entry.second.total < kForgotten; });
}

}  // namespace ridgehold
