#include "control/instance_records.h"

#include <algorithm>

namespace ridgehold {
namespace {

constexpr char kSeparator = ' ';

}  // namespace

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

void InstanceRecords::Put(const StoreItem& item) {
  items_[item.key] = item;
  if (item.key.starts_with(kMemberPrefix)) DecodeMembers();
}

void InstanceRecords::Remove(const std::string& key) {
  items_.erase(key);
  if (key.starts_with(kMemberPrefix)) DecodeMembers();
}

void InstanceRecords::Clear() {
  items_.clear();
  DecodeMembers();
}

void InstanceRecords::DecodeMembers() {
  std::vector<Member> members;
  for (auto at = items_.lower_bound(kMemberPrefix);
       at != items_.end() && at->first.starts_with(kMemberPrefix); ++at) {
    auto member = DecodeMember(at->second.value);
    if (!member) continue;
    member->key_revision = at->second.revision;
    members.push_back(std::move(*member));
  }
  if (members == members_) return;
  members_ = std::move(members);
  ++members_version_;
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
  const auto relay = std::ranges::find(members_, zone, &Member::zone);
  return relay == members_.end() ? std::nullopt : std::optional(*relay);
}

std::optional<Member> InstanceRecords::UpstreamRelay(
    const Member& self, const std::set<std::string>& unresponsive) const {
  const auto usable = [&](const Member& member) {
    return member.address == self.address || !unresponsive.contains(member.address);
  };
  const auto in_zone = std::ranges::find_if(
      members_, [&](const Member& member) { return member.zone == self.zone && usable(member); });
  if (in_zone != members_.end() && in_zone->address != self.address) return *in_zone;
  const auto first = std::ranges::find_if(members_, usable);
  if (first == members_.end() || first->address == self.address) return std::nullopt;
  return *first;
}

}  // namespace ridgehold
