#include "control/instance_records.h"

#include <algorithm>

namespace ridgehold {
namespace {

constexpr char kSeparator = ' ';

}  // namespace

std::string MemberPrefixOf(const ZoneId& zone) { return kMemberPrefix + zone.value() + "/"; }

std::string MemberKeyOf(const ZoneId& zone, const DaemonId& daemon) {
  return MemberPrefixOf(zone) + daemon.value();
}

std::string EncodeMember(const Member& member) {
  return member.address + kSeparator + member.zone.value();
}

std::optional<Member> DecodeMember(const std::string& value) {
  const std::size_t separator = value.find(kSeparator);
  if (separator == std::string::npos || separator == 0) return std::nullopt;
  return Member{value.substr(0, separator), ZoneId(value.substr(separator + 1)), {}};
}

const StoreItem* InstanceRecords::Find(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? nullptr : &found->second;
}

bool InstanceRecords::IsHeldBy(const std::string& key, const std::string& holder) const {
  const StoreItem* item = Find(key);
  return item != nullptr && item->value.starts_with(holder);
}

void InstanceRecords::Put(const StoreItem& item) {
  items_[item.key] = item;
  if (item.key.starts_with(kMemberPrefix)) PutMember(item);
  Notify(item.key, &item);
}

void InstanceRecords::Remove(const std::string& key) {
  items_.erase(key);
  RemoveMember(key);
  Notify(key, nullptr);
}

void InstanceRecords::Clear() {
  for (const auto& [key, item] : std::exchange(items_, {})) Notify(key, nullptr);
  if (members_by_key_.empty()) return;
  members_by_key_.clear();
  members_.reset();
  ++members_version_;
}

void InstanceRecords::PutMember(const StoreItem& item) {
  auto member = DecodeMember(item.value);
  if (!member) return RemoveMember(item.key);
  member->key_revision = item.revision;
  const auto [entry, is_new] = members_by_key_.try_emplace(item.key, *member);
  if (!is_new && entry->second == *member) return;
  entry->second = std::move(*member);
  members_.reset();
  ++members_version_;
}

void InstanceRecords::RemoveMember(const std::string& key) {
  if (members_by_key_.erase(key) == 0) return;
  members_.reset();
  ++members_version_;
}

const std::vector<Member>& InstanceRecords::Members() const {
  if (!members_) {
    members_.emplace();
    members_->reserve(members_by_key_.size());
    for (const auto& [key, member] : members_by_key_) members_->push_back(member);
  }
  return *members_;
}

std::vector<const StoreItem*> InstanceRecords::ItemsWithPrefix(const std::string& prefix) const {
  std::vector<const StoreItem*> found;
  for (auto at = items_.lower_bound(prefix); at != items_.end() && at->first.starts_with(prefix);
       ++at) {
    found.push_back(&at->second);
  }
  return found;
}

std::size_t InstanceRecords::MemberRank(const std::string& key) const {
  return static_cast<std::size_t>(
      std::distance(items_.lower_bound(kMemberPrefix), items_.lower_bound(key)));
}

std::optional<Member> InstanceRecords::ZoneRelay(const ZoneId& zone) const {
  const std::vector<Member>& members = Members();
  const auto relay = std::ranges::find(members, zone, &Member::zone);
  return relay == members.end() ? std::nullopt : std::optional(*relay);
}

RelayPosition InstanceRecords::RelayPositionOf(const std::string& key, const ZoneId& zone,
                                               const std::set<std::string>& unresponsive) const {
  const Member* first = nullptr;
  std::vector<const Member*> earlier_in_zone;
  const auto own = members_by_key_.lower_bound(key);
  for (auto at = members_by_key_.begin(); at != own; ++at) {
    const Member& member = at->second;
    if (unresponsive.contains(member.address)) continue;
    if (first == nullptr) first = &member;
    if (member.zone == zone) earlier_in_zone.push_back(&member);
  }
  if (first == nullptr) return {};
  if (earlier_in_zone.empty()) return {*first, 1};
  const auto parent_of = [](std::size_t index) { return (index - 1) / kRelayFanOut; };
  RelayPosition position{*earlier_in_zone[parent_of(earlier_in_zone.size())], 0};
  for (std::size_t i = earlier_in_zone.size(); i > 0; i = parent_of(i)) ++position.depth;
  if (earlier_in_zone.front() != first) ++position.depth;
  return position;
}

}  // namespace ridgehold
