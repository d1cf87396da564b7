#include "gateway/engine_cache.h"

namespace ridgehold {

void EngineCache::Use(std::span<const SharedPart> parts, std::uint32_t own_tokens,
                      std::uint64_t capacity, TimePoint now) {
  if (own_tokens > 0) {
    entries_.push_front({0, own_tokens, false, now});
    tokens_ += own_tokens;
  }
  // The first part is touched last, so that it is evicted last: a part is useless without those
  // before it.
  for (auto part = parts.rbegin(); part != parts.rend(); ++part) Touch(*part, now);
  Evict(capacity);
}

void EngineCache::Touch(const SharedPart& part, TimePoint now) {
  const auto found = by_hash_.find(part.hash);
  if (found != by_hash_.end()) {
    entries_.splice(entries_.begin(), entries_, found->second);
    return;
  }
  entries_.push_front({part.hash, part.tokens, true, now});
  by_hash_[part.hash] = entries_.begin();
  tokens_ += part.tokens;
}

void EngineCache::Evict(std::uint64_t capacity) {
  while (!entries_.empty()) {
    const bool over = capacity > 0 && tokens_ > capacity;
    if (!over && entries_.size() <= kMaxEntries) break;
    const Entry& oldest = entries_.back();
    tokens_ -= oldest.tokens;
    if (oldest.shared) by_hash_.erase(oldest.hash);
    entries_.pop_back();
  }
}

EngineCache::PrefixMatch EngineCache::Find(std::span<const SharedPart> parts,
                                           Duration prefill_delay, TimePoint now) const {
  PrefixMatch match;
  const Entry* last = nullptr;
  for (const SharedPart& part : parts) {
    const auto found = by_hash_.find(part.hash);
    if (found == by_hash_.end()) break;
    last = &*found->second;
    const bool read = match.prefilled == match.tokens && now - last->placed >= prefill_delay;
    match.tokens += last->tokens;
    if (read) match.prefilled = match.tokens;
  }
  if (last == nullptr) return match;
  for (const Entry& entry : entries_) {
    if (&entry == last) break;
    match.used_since += entry.tokens;
  }
  return match;
}

void EngineCache::Clear() {
  entries_.clear();
  by_hash_.clear();
  tokens_ = 0;
}

}  // namespace ridgehold
