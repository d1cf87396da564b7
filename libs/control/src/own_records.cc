#include "control/own_records.h"

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
  return Member{value.substr(0, separator), ZoneId(value.substr(separator + 1))};
}

const StoreItem* OwnRecords::Find(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? nullptr : &found->second;
}

std::vector<Member> OwnRecords::Members() const {
  std::vector<Member> members;
  for (auto at = items_.lower_bound(kMemberPrefix);
       at != items_.end() && at->first.starts_with(kMemberPrefix); ++at) {
    if (auto member = DecodeMember(at->second.value)) members.push_back(std::move(*member));
  }
  return members;
}

std::size_t OwnRecords::MembersBefore(const std::string& key) const {
  return static_cast<std::size_t>(
      std::distance(items_.lower_bound(kMemberPrefix), items_.lower_bound(key)));
}

std::optional<Member> OwnRecords::RelayOf(const ZoneId& zone) const {
  const std::vector<Member> members = Members();
  const auto relay = std::ranges::find(members, zone, &Member::zone);
  return relay == members.end() ? std::nullopt : std::optional(*relay);
}

}  // namespace ridgehold
