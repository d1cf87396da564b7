// What a daemon believes the engines have cached, block by block.

#pragma once

#include <boost/container/small_vector.hpp>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <span>
#include <vector>

#include "base/ids.h"
#include "cache/block_chain.h"

namespace ridgehold {

/// Stands for one engine. Once the engine is seen under another incarnation or
/// with other weights, its owner forgets the slot, so that nothing seen before
/// counts.
using HolderSlot = std::uint16_t;

/// Not thread-safe; time comes in as a value. A wrong entry costs time, never
/// a wrong answer: engines check incarnation, weights and salt themselves.
class CachePicture {
 public:
  /// Entries not confirmed for this long no longer count.
  static constexpr std::chrono::seconds kMaxAge{120};

  /// `max_blocks` bounds the memory; the oldest entries go first.
  explicit CachePicture(std::size_t max_blocks);

  /// `slot` holds `blocks`, or will once a request sent to it is prefilled.
  void Add(HolderSlot slot, std::span<const BlockHash> blocks, TimePoint now);

  /// `slot` has evicted `blocks`.
  void Remove(HolderSlot slot, std::span<const BlockHash> blocks);

  /// Forgets everything about `slot`.
  void Forget(HolderSlot slot);

  /// Sets `matched[slot]` to the number of blocks from the chain's start that
  /// the slot holds. Slots beyond `matched.size()` are left out.
  void Match(std::span<const BlockHash> chain, TimePoint now,
             std::vector<std::uint32_t>& matched) const;

  /// Returns the blocks of `slot`, the most recently confirmed first.
  std::vector<BlockHash> BlocksOf(HolderSlot slot, std::size_t most) const;

  std::size_t size() const { return blocks_.size(); }

 private:
  using Tick = std::uint16_t;

  struct Holder {
    HolderSlot slot;
    Tick seen;
  };

  using Holders = boost::container::small_vector<Holder, 3>;

  static constexpr std::chrono::milliseconds kTick{100};

  static Tick TickAt(TimePoint now);
  static bool IsFresh(Holder holder, Tick now);
  void Shrink(Tick now);

  std::size_t max_blocks_;
  boost::unordered_flat_map<BlockHash, Holders> blocks_;
};

}  // namespace ridgehold
