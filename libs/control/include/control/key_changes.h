// The order in which keys of the store last changed, to tell peers what they lack.

#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "control/state_store.h"

namespace ridgehold {

/// Remembers the latest change of each key, so a difference between two revisions holds each key
/// once, however often it changed. Keys that exist are remembered for good, removed ones up to a
/// bound. Not thread-safe.
class KeyChanges {
 public:
  /// Bound on removed keys: all engines of a large fleet may end within minutes.
  static constexpr std::size_t kMaxRemovals = 20'000;

  explicit KeyChanges(std::size_t max_removals = kMaxRemovals) : max_removals_(max_removals) {}

  /// Removals up to `revision` are unknown.
  void StartAt(StoreRevision revision) { complete_after_ = revision; }

  void RecordPut(const std::string& key, StoreRevision revision);
  void RecordRemoval(const std::string& key, StoreRevision revision);

  /// Returns the latest change of each key that changed after `revision`, in the order of the
  /// changes; `items` holds the values of the keys that exist. nullopt if removals after `revision`
  /// are no longer known.
  std::optional<std::vector<StoreEvent>> After(StoreRevision revision,
                                               const std::map<std::string, StoreItem>& items) const;

 private:
  /// Keys by the revision of their latest change; several keys of a transaction share one.
  using Changes = std::multimap<StoreRevision, std::string>;

  void Record(const std::string& key, Changes& changes, StoreRevision revision);
  void Forget(const std::string& key);

  std::size_t max_removals_;
  Changes puts_;
  Changes removals_;
  struct Position {
    Changes* changes = nullptr;
    Changes::iterator at;
  };
  std::unordered_map<std::string, Position> positions_;
  StoreRevision complete_after_;
};

}  // namespace ridgehold
