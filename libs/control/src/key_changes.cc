#include "control/key_changes.h"

#include <algorithm>

namespace ridgehold {

void KeyChanges::RecordPut(const std::string& key, StoreRevision revision) {
  Record(key, puts_, revision);
}

void KeyChanges::RecordRemoval(const std::string& key, StoreRevision revision) {
  Record(key, removals_, revision);
  if (removals_.size() <= max_removals_) return;
  complete_after_ = std::max(complete_after_, removals_.begin()->first);
  Forget(std::string(removals_.begin()->second));
}

void KeyChanges::Record(const std::string& key, Changes& changes, StoreRevision revision) {
  Forget(key);
  positions_[key] = {&changes, changes.emplace(revision, key)};
}

void KeyChanges::Forget(const std::string& key) {
  const auto found = positions_.find(key);
  if (found == positions_.end()) return;
  found->second.changes->erase(found->second.at);
  positions_.erase(found);
}

std::optional<std::vector<StoreEvent>> KeyChanges::After(
    StoreRevision revision, const std::map<std::string, StoreItem>& items) const {
  if (revision < complete_after_) return std::nullopt;
  std::vector<StoreEvent> events;
  for (auto at = removals_.upper_bound(revision); at != removals_.end(); ++at) {
    events.push_back({at->second, at->first, std::nullopt});
  }
  for (auto at = puts_.upper_bound(revision); at != puts_.end(); ++at) {
    const auto item = items.find(at->second);
    if (item != items.end()) events.push_back({at->second, at->first, item->second});
  }
  std::ranges::stable_sort(events, {}, &StoreEvent::revision);
  return events;
}

}  // namespace ridgehold
