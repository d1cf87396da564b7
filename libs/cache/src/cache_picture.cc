#include "cache/cache_picture.h"

#include <algorithm>

namespace ridgehold {
namespace {

template <class Holders, class Predicate>
void DropIf(Holders& holders, Predicate predicate) {
  holders.erase(std::remove_if(holders.begin(), holders.end(), predicate), holders.end());
}

}  // namespace

CachePicture::CachePicture(std::size_t max_blocks) : max_blocks_(max_blocks) {}

CachePicture::Tick CachePicture::TickAt(TimePoint now) {
  // Ticks wrap after 6,553 s, far beyond kMaxAge; Shrink runs often enough to
  // drop what is older before it could look new again.
  return static_cast<Tick>(now.time_since_epoch() / kTick);
}

bool CachePicture::IsFresh(Holder holder, Tick now) {
  constexpr auto kMaxTicks = static_cast<Tick>(kMaxAge / kTick);
  return static_cast<Tick>(now - holder.seen) <= kMaxTicks;
}

void CachePicture::Add(HolderSlot slot, std::span<const BlockHash> blocks, TimePoint now) {
  const Tick tick = TickAt(now);
  for (const BlockHash block : blocks) {
    Holders& holders = blocks_[block];
    const auto found = std::ranges::find(holders, slot, &Holder::slot);
    if (found != holders.end()) {
      found->seen = tick;
    } else {
      holders.push_back({slot, tick});
    }
  }
  if (blocks_.size() > max_blocks_) Shrink(tick);
}

void CachePicture::Remove(HolderSlot slot, std::span<const BlockHash> blocks) {
  for (const BlockHash block : blocks) {
    const auto found = blocks_.find(block);
    if (found == blocks_.end()) continue;
    DropIf(found->second, [&](Holder holder) { return holder.slot == slot; });
    if (found->second.empty()) blocks_.erase(found);
  }
}

void CachePicture::Forget(HolderSlot slot) {
  boost::unordered::erase_if(blocks_, [&](auto& entry) {
    DropIf(entry.second, [&](Holder holder) { return holder.slot == slot; });
    return entry.second.empty();
  });
}

void CachePicture::Match(std::span<const BlockHash> chain, TimePoint now,
                         std::vector<std::uint32_t>& matched) const {
  std::ranges::fill(matched, 0U);
  const Tick tick = TickAt(now);
  for (std::uint32_t depth = 0; depth < chain.size(); ++depth) {
    const auto found = blocks_.find(chain[depth]);
    if (found == blocks_.end()) return;
    bool any = false;
    for (const Holder holder : found->second) {
      // A block counts only if the slot holds every block before it.
      if (holder.slot >= matched.size() || matched[holder.slot] != depth) continue;
      if (!IsFresh(holder, tick)) continue;
      matched[holder.slot] = depth + 1;
      any = true;
    }
    if (!any) return;
  }
}

std::vector<BlockHash> CachePicture::BlocksOf(HolderSlot slot, std::size_t most) const {
  struct Seen {
    BlockHash block;
    Tick tick;
  };
  std::vector<Seen> seen;
  for (const auto& [block, holders] : blocks_) {
    const auto found = std::ranges::find(holders, slot, &Holder::slot);
    if (found != holders.end()) seen.push_back({block, found->seen});
  }
  std::ranges::sort(seen, std::ranges::greater(), &Seen::tick);
  if (seen.size() > most) seen.resize(most);
  std::vector<BlockHash> blocks;
  blocks.reserve(seen.size());
  for (const Seen& entry : seen) blocks.push_back(entry.block);
  return blocks;
}

void CachePicture::Shrink(Tick now) {
  // Keep a quarter free, so that this runs once in a great while.
  const std::size_t target = max_blocks_ - max_blocks_ / 4;
  auto limit = static_cast<Tick>(kMaxAge / kTick);
  while (blocks_.size() > target) {
    boost::unordered::erase_if(blocks_, [&](auto& entry) {
      DropIf(entry.second,
             [&](Holder holder) { return static_cast<Tick>(now - holder.seen) > limit; });
      return entry.second.empty();
    });
    if (limit == 0) break;
    limit /= 2;
  }
  if (blocks_.size() > target) blocks_.clear();
}

}  // namespace ridgehold
