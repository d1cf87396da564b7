// The gateways' own keys in the store: who is alive, and who holds the rollout duty.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "control/state_store.h"

namespace ridgehold {

/// Keys of the gateways' own; all others belong to the platform.
inline constexpr char kOwnPrefix[] = "ridgehold/";
inline constexpr char kMemberPrefix[] = "ridgehold/members/";
inline constexpr char kRolloutHolderKey[] = "ridgehold/rollout-holder";

/// A gateway that is alive, as its key in the store says.
struct Member {
  std::string address;  ///< without a port
  ZoneId zone;
};

/// The value of a member's key.
std::string EncodeMember(const Member& member);

/// Returns nothing when `value` is not a member's.
std::optional<Member> DecodeMember(const std::string& value);

/// A copy of them as the store last told. Not thread-safe.
class OwnRecords {
 public:
  void Put(const StoreItem& item) { items_[item.key] = item; }
  void Remove(const std::string& key) { items_.erase(key); }
  void Clear() { items_.clear(); }

  /// Returns the item, or null.
  const StoreItem* Find(const std::string& key) const;

  /// How many members' keys come before `key` by name.
  std::size_t MembersBefore(const std::string& key) const;

  /// Gateways that have a member's key, in the order of their names.
  std::vector<Member> Members() const;

  /// The member of `zone` that asks the store for the others there: the first
  /// by name. Nothing when none is known.
  std::optional<Member> RelayOf(const ZoneId& zone) const;

 private:
  std::map<std::string, StoreItem> items_;
};

}  // namespace ridgehold
