// An engine's block memory: bounded, least recently used blocks go first.

#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

#include "cache/block_chain.h"

namespace ridgehold::standin {

class BlockCache {
 public:
  explicit BlockCache(std::size_t capacity) : capacity_(capacity) {}

  /// Returns how many blocks from the chain's start are held.
  std::size_t Match(std::span<const BlockHash> chain) const;

  /// Stores the chain; fills in what was added and what was evicted for it.
  void Store(std::span<const BlockHash> chain, std::vector<BlockHash>& added,
             std::vector<BlockHash>& evicted);

  /// Returns held blocks, most recently used first.
  std::vector<BlockHash> Recent(std::size_t most) const;

  void Clear();
  std::size_t size() const { return index_.size(); }

 private:
  std::size_t capacity_;
  std::list<BlockHash> order_;  // front: most recently used
  std::unordered_map<BlockHash, std::list<BlockHash>::iterator> index_;
};

}  // namespace ridgehold::standin
