#include "gateway/prefix_shares.h"

namespace ridgehold {

void PrefixShares::Record(std::uint64_t first_part, double tokens, TimePoint now) {
  if (now - decayed_at_ >= kHalfLife) {
    Decay();
    decayed_at_ = now;
  }
  tokens_[first_part] += tokens;
  total_ += tokens;
}

double PrefixShares::TokensOf(std::uint64_t first_part) const {
  const auto found = tokens_.find(first_part);
  return found == tokens_.end() ? 0 : found->second;
}

RingSegment PrefixShares::SegmentOf(std::uint64_t first_part) const {
  if (total_ <= 0) return {};
  double before = 0;
  auto entry = tokens_.begin();
  for (; entry != tokens_.end() && entry->first < first_part; ++entry) before += entry->second;
  const bool known = entry != tokens_.end() && entry->first == first_part;
  return {before / total_, known ? entry->second / total_ : 0};
}

void PrefixShares::Decay() {
  constexpr double kMinTokens = 100;  // tokens; fewer than any prompt adds
  total_ = 0;
  for (auto& [first_part, tokens] : tokens_) {
    tokens /= 2;
    total_ += tokens;
  }
  std::erase_if(tokens_, [&](const auto& entry) {
    const bool forgotten = entry.second < kMinTokens;
    if (forgotten) total_ -= entry.second;
    return forgotten;
  });
}

}  // namespace ridgehold
