#include "block_cache.h"

#include <algorithm>

namespace ridgehold::standin {

std::size_t BlockCache::Match(std::span<const BlockHash> chain) const {
  const auto missing =
      std::ranges::find_if_not(chain, [&](BlockHash block) { return index_.contains(block); });
  return static_cast<std::size_t>(missing - chain.begin());
}

void BlockCache::Store(std::span<const BlockHash> chain, std::vector<BlockHash>& added,
                       std::vector<BlockHash>& evicted) {
  // From the end to the start, so that a chain's first blocks are evicted last.
  for (std::size_t i = chain.size(); i-- > 0;) {
    const auto found = index_.find(chain[i]);
    if (found != index_.end()) {
      order_.splice(order_.begin(), order_, found->second);
      continue;
    }
    order_.push_front(chain[i]);
    index_[chain[i]] = order_.begin();
    added.push_back(chain[i]);
  }
  while (index_.size() > capacity_) {
    evicted.push_back(order_.back());
    index_.erase(order_.back());
    order_.pop_back();
  }
}

std::vector<BlockHash> BlockCache::Recent(std::size_t most) const {
  std::vector<BlockHash> recent;
  for (const BlockHash block : order_) {
    if (recent.size() == most) break;
    recent.push_back(block);
  }
  return recent;
}

void BlockCache::Clear() {
  order_.clear();
  index_.clear();
}

}  // namespace ridgehold::standin
