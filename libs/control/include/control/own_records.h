// The gateways' own keys in the store: who is alive, and who holds the rollout duty.

#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "control/state_store.h"

namespace ridgehold {

/// Keys of the gateways' own; all others belong to the platform.
inline constexpr char kOwnPrefix[] = "ridgehold/";
inline constexpr char kMemberPrefix[] = "ridgehold/members/";
inline constexpr char kRolloutHolderKey[] = "ridgehold/rollout-holder";

/// A copy of them as the store last told. Not thread-safe.
class OwnRecords {
 public:
  void Put(const StoreItem& item) { items_[item.key] = item; }
  void Remove(const std::string& key) { items_.erase(key); }
  void Clear() { items_.clear(); }

  /// Returns the item, or null.
  const StoreItem* Find(const std::string& key) const {
    const auto found = items_.find(key);
    return found == items_.end() ? nullptr : &found->second;
  }

  /// Gateways that have a member's key.
  std::uint32_t CountMembers() const {
    std::uint32_t count = 0;
    for (auto at = items_.lower_bound(kMemberPrefix);
         at != items_.end() && at->first.starts_with(kMemberPrefix); ++at) {
      ++count;
    }
    return count;
  }

  /// The members' values: each instance's address.
  std::vector<std::string> MemberAddresses() const {
    std::vector<std::string> addresses;
    for (auto at = items_.lower_bound(kMemberPrefix);
         at != items_.end() && at->first.starts_with(kMemberPrefix); ++at) {
      addresses.push_back(at->second.value);
    }
    return addresses;
  }

 private:
  std::map<std::string, StoreItem> items_;
};

}  // namespace ridgehold
