// Estimates the contents of one engine's KV cache from the requests that were sent there.

#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

#include "base/ids.h"

namespace ridgehold {

/// A shared part of a prompt. The hash covers the part and all parts before it.
struct SharedPart {
  std::uint64_t hash = 0;
  std::uint32_t tokens = 0;  ///< in this part alone

  bool operator==(const SharedPart&) const = default;
};

/// Evicts in LRU order, as engines do. Using a cached part counts like adding a new one: an
/// estimate that only counts the tokens added would keep parts that the engine has already evicted.
/// Not thread-safe; the caller passes in the time.
class EngineCache {
 public:
  /// Bounds the entries for an engine whose memory size is not known.
  static constexpr std::size_t kMaxEntries = 4'000;

  struct PrefixMatch {
    std::uint32_t tokens = 0;      ///< in the longest cached prefix
    std::uint32_t prefilled = 0;   ///< of these, tokens whose prefill is done
    std::uint64_t used_since = 0;  ///< tokens used more recently than the oldest of these parts
  };

  /// Records a request with these shared parts and `own_tokens` unshared tokens, sent to an engine
  /// whose memory holds `capacity` tokens (0: not known).
  void Use(std::span<const SharedPart> parts, std::uint32_t own_tokens, std::uint64_t capacity,
           TimePoint now);

  /// Finds the longest cached prefix of `parts`. The prefill of a part counts as done
  /// `prefill_delay` after it was first added.
  PrefixMatch Find(std::span<const SharedPart> parts, Duration prefill_delay, TimePoint now) const;

  /// Empties the estimate when the engine has lost its cache.
  void Clear();

  std::uint64_t tokens() const { return tokens_; }
  bool Contains(std::uint64_t hash) const { return by_hash_.contains(hash); }

 private:
  struct Entry {
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;
    bool shared = false;  ///< false for a request's own part, which no other request uses
    TimePoint placed{};
  };
  using Entries = std::list<Entry>;  ///< most recently used first

  void Touch(const SharedPart& part, TimePoint now);
  void Evict(std::uint64_t capacity);

  Entries entries_;
  std::unordered_map<std::uint64_t, Entries::iterator> by_hash_;
  std::uint64_t tokens_ = 0;
};

}  // namespace ridgehold
