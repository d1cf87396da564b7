#include "gateway/prefix_shares.h"

namespace ridgehold {

void PrefixShares::Record(std::uint64_t first, double tokens, TimePoint now) {
  if (now - halved_ >= kHalfLife) {
    Halve();
    halved_ = now;
  }
  tokens_[first] += tokens;
  total_ += tokens;
}

double PrefixShares::TokensOf(std::uint64_t first) const {
  const auto found = tokens_.find(first);
  return found == tokens_.end() ? 0 : found->second;
}

RingSegment PrefixShares::SegmentOf(std::uint64_t first) const {
  if (total_ <= 0) return {};
  double before = 0;
  auto entry = tokens_.begin();
  for (; entry != tokens_.end() && entry->first < first; ++entry) before += entry->second;
  const bool known = entry != tokens_.end() && entry->first == first;
  return {before / total_, known ? entry->second / total_ : 0};
}

void PrefixShares::Halve() {
  constexpr double kForgotten = 100;  // tokens; less than any prompt brings
  total_ = 0;
  for (auto& [first, tokens] : tokens_) {
    tokens /= 2;
    total_ += tokens;
  }
  std::erase_if(tokens_, [&](const auto& entry) {
    const bool forgotten = entry.second < kForgotten;
    if (forgotten) total_ -= entry.second;
    return forgotten;
  });
}

}  // namespace ridgehold
