// What one engine's cache is believed to hold, from the requests that were sent there.

#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

#include "base/ids.h"

namespace ridgehold {

/// A shared part of a prompt. The hash stands for the part and all before it.
struct SharedPart {
  std::uint64_t hash = 0;
  std::uint32_t tokens = 0;  ///< of this part alone

  bool operator==(const SharedPart&) const = default;
};

/// Evicts as engines do: the parts whose last use is longest ago go when new
/// ones need room. Use of parts that were there counts like new ones: a mere count
/// of tokens taken in takes parts for kept that others have outlived. Not
/// thread-safe; time comes in as a value.
class EngineCache {
 public:
  /// Bounds what is remembered of an engine whose memory is not known.
  static constexpr std::size_t kMaxEntries = 4'000;

  struct PrefixMatch {
    std::uint32_t tokens = 0;      ///< from the beginning on, without a gap
    std::uint32_t prefilled = 0;   ///< of those, what has been read by now
    std::uint64_t used_since = 0;  ///< tokens used after the oldest of these parts
  };

  /// A request with these shared parts and `own_tokens` of its own is sent to
  /// the engine, whose memory holds `capacity` tokens; 0: not known.
  void Use(std::span<const SharedPart> parts, std::uint32_t own_tokens, std::uint64_t capacity,
           TimePoint now);

  /// Which of `parts` are there. Parts count as read `prefill_delay` after they
  /// were first brought.
  PrefixMatch Find(std::span<const SharedPart> parts, Duration prefill_delay, TimePoint now) const;

  /// The engine has lost everything.
  void Clear();

  std::uint64_t tokens() const { return tokens_; }
  bool Contains(std::uint64_t hash) const { return by_hash_.contains(hash); }

 private:
  struct Entry {
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;
    bool shared = false;  ///< else a request's own part, which nobody asks for again
    TimePoint placed{};
  };
  using Entries = std::list<Entry>;  ///< the last used first

  void Touch(const SharedPart& part, TimePoint now);
  void Evict(std::uint64_t capacity);

  Entries entries_;
  std::unordered_map<std::uint64_t, Entries::iterator> by_hash_;
  std::uint64_t tokens_ = 0;
};

}  // namespace ridgehold
