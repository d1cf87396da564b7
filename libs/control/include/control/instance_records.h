// Keys that the instances write to the store: membership, and holders of the rollout and quota
// locks.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "control/state_store.h"

namespace ridgehold {

/// Prefix of the keys that the instances write; all other keys belong to the platform.
inline constexpr char kInstanceKeyPrefix[] = "ridgehold/";
/// Prefix of the members' keys, followed by the availability zone and the instance's name.
inline constexpr char kMemberPrefix[] = "ridgehold/members/";
inline constexpr char kRolloutHolderKey[] = "ridgehold/rollout-holder";
/// Prefix of the quota holders' keys, followed by an availability zone. The value names the
/// instance that holds the zone's share of all quotas.
inline constexpr char kQuotaHolderPrefix[] = "ridgehold/quota-holder/";
/// Prefix of the records of instances that send retries, followed by the instance's name. The value
/// identifies the process.
inline constexpr char kRetryRecordPrefix[] = "ridgehold/retries/";
/// Prefix of the records of releases, followed by the service; see ReleaseRecord.
inline constexpr char kReleaseRecordPrefix[] = "ridgehold/releases/";
/// Prefix of the origins of streams, followed by an id of the process and a number; see
/// StoredOrigins.
inline constexpr char kOriginPrefix[] = "ridgehold/origins/";

/// A live instance, according to its key in the store.
struct Member {
  std::string address;  ///< without a port
  ZoneId zone;
  StoreRevision key_revision;  ///< of its key; each process of the instance writes a new one

  bool operator==(const Member&) const = default;
};

/// The place of an instance in the tree along which updates of the store travel.
struct RelayPosition {
  std::optional<Member> upstream;  ///< nullopt for the root, which watches the store
  std::size_t depth = 0;           ///< instances between it and the store
};

/// Returns the prefix of the keys of the members of `zone`.
std::string MemberPrefixOf(const ZoneId& zone);

/// Returns the key of a member. Those of one zone can be listed without the others.
std::string MemberKeyOf(const ZoneId& zone, const DaemonId& daemon);

/// Encodes the value of a member's key; the revision is not part of it.
std::string EncodeMember(const Member& member);

/// Returns nullopt if `value` is malformed.
std::optional<Member> DecodeMember(const std::string& value);

/// Local copy of the keys that the instances write. Not thread-safe.
class InstanceRecords {
 public:
  /// Called after each change of a key, with nullptr if it was removed.
  using Listener = std::function<void(const std::string& key, const StoreItem* item)>;
  void SetListener(Listener listener) { listener_ = std::move(listener); }

  void Put(const StoreItem& item);
  void Remove(const std::string& key);
  void Clear();

  /// Returns nullptr if there is no such key.
  const StoreItem* Find(const std::string& key) const;

  /// Whether there is such a key, and its value begins with `holder`.
  bool IsHeldBy(const std::string& key, const std::string& holder) const;

  /// Returns the items whose keys start with `prefix`, in the order of the keys.
  std::vector<const StoreItem*> ItemsWithPrefix(const std::string& prefix) const;

  /// Returns the number of members' keys that sort before `key`.
  std::size_t MemberRank(const std::string& key) const;

  /// Members in the order of their keys. The reference is valid until the next change.
  const std::vector<Member>& Members() const;
  /// Incremented with each change of the members.
  std::uint64_t members_version() const { return members_version_; }

  /// Returns the member that relays store updates to the other members of `zone`: the first one by
  /// name. nullopt if none is known.
  std::optional<Member> ZoneRelay(const ZoneId& zone) const;

  /// Most instances that follow one relay of their zone. Each change leaves a relay this many
  /// times, so its link bears a copy of the store however large the zone is.
  static constexpr std::size_t kRelayFanOut = 4;

  /// Returns the place of the instance with the member key `key`. The members of a zone form a tree
  /// in the order of their keys; its root follows the first of all instances, which alone watches
  /// the store. Members whose address is in `unresponsive` are left out. An upstream precedes all
  /// that follow it, so there are no cycles, whatever each instance knows and leaves out.
  RelayPosition RelayPositionOf(const std::string& key, const ZoneId& zone,
                                const std::set<std::string>& unresponsive) const;

 private:
  void PutMember(const StoreItem& item);
  void RemoveMember(const std::string& key);

  void Notify(const std::string& key, const StoreItem* item) const {
    if (listener_) listener_(key, item);
  }

  Listener listener_;
  std::map<std::string, StoreItem> items_;
  std::map<std::string, Member> members_by_key_;
  /// Cached result of Members(), which is called hundreds of times per second; empty after a
  /// change.
  mutable std::optional<std::vector<Member>> members_;
  std::uint64_t members_version_ = 0;
};

}  // namespace ridgehold
