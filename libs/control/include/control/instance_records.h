// The gateways' own keys in the store: who is alive, and who holds the rollout duty.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "control/state_store.h"

namespace ridgehold {

/// Keys of the gateways' own; all others belong to the platform.
inline constexpr char kInstanceKeyPrefix[] = "ridgehold/";
inline constexpr char kMemberPrefix[] = "ridgehold/members/";
inline constexpr char kRolloutHolderKey[] = "ridgehold/rollout-holder";
/// Followed by an availability zone: who holds its share of all quotas.
inline constexpr char kQuotaHolderPrefix[] = "ridgehold/quota-holder/";

/// A gateway that is alive, as its key in the store says.
struct Member {
  std::string address;  ///< without a port
  ZoneId zone;
  StoreRevision key_revision;  ///< when its key was written: anew by each process

  bool operator==(const Member&) const = default;
};

/// The value of a member's key, without the revision.
std::string EncodeMember(const Member& member);

/// Returns nothing when `value` is not a member's.
std::optional<Member> DecodeMember(const std::string& value);

/// A copy of them as the store last told. Not thread-safe.
class InstanceRecords {
 public:
  void Put(const StoreItem& item);
  void Remove(const std::string& key);
  void Clear();

  /// Returns the item, or null.
  const StoreItem* Find(const std::string& key) const;

  /// Items whose keys begin so, in the order of their keys.
  std::vector<const StoreItem*> ItemsWithPrefix(const std::string& prefix) const;

  /// How many members' keys come before `key` by name.
  std::size_t MemberRank(const std::string& key) const;

  /// Gateways that have a member's key, in the order of their names.
  const std::vector<Member>& Members() const { return members_; }
  /// Rises with each change of the members.
  std::uint64_t members_version() const { return members_version_; }

  /// The member of `zone` that asks the store for the others there: the first
  /// by name. Nothing when none is known.
  std::optional<Member> ZoneRelay(const ZoneId& zone) const;

  /// The gateway through which `self` hears of the store: the relay of its zone;
  /// for that one the first of all gateways by name; nothing for this, which asks
  /// the store. So one gateway asks, whatever the size of the fleet, and changes
  /// arrive over two hops. Those in `silent`, by address, are passed over.
  std::optional<Member> UpstreamRelay(const Member& self,
                                      const std::set<std::string>& silent) const;

 private:
  /// Decoded once a change, not with each of the hundreds of looks a second.
  void ReadMembers();

  std::map<std::string, StoreItem> items_;
  std::vector<Member> members_;
  std::uint64_t members_version_ = 0;
};

}  // namespace ridgehold
