#include "resumption/origin_table.h"

#include <utility>

namespace ridgehold {

void OriginTable::Add(AttemptHash attempt, Entry entry, TimePoint now) {
  const bool added = entries_.try_emplace(attempt, std::move(entry)).second;
  if (!added) return;
  arrivals_.push_back({attempt, now});
  if (entries_.size() > kMaxEntries) EvictOldest();
}

const StreamOrigin* OriginTable::Find(AttemptHash attempt, StreamScope scope) const {
  const auto found = entries_.find(attempt);
  const bool known = found != entries_.end() && found->second.origin.scope == scope;
  return known ? &found->second.origin : nullptr;
}

std::vector<std::pair<AttemptHash, StreamOrigin>> OriginTable::TakeUnshared(
    const ServiceId& service) {
  std::vector<std::pair<AttemptHash, StreamOrigin>> unshared;
  for (auto& [attempt, entry] : entries_) {
    if (entry.service != service || std::exchange(entry.shared, true)) continue;
    unshared.emplace_back(attempt, entry.origin);
  }
  return unshared;
}

void OriginTable::Expire(Duration lifetime, TimePoint now) {
  while (!arrivals_.empty() && now - arrivals_.front().at > lifetime) EvictOldest();
}

void OriginTable::EvictOldest() {
  entries_.erase(arrivals_.front().attempt);
  arrivals_.pop_front();
}

}  // namespace ridgehold
