#include "control/instance_records.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>

using namespace ridgehold;

namespace {

void PutMember(InstanceRecords& records, const std::string& name, const std::string& zone) {
  records.Put({kMemberPrefix + name, EncodeMember({"10.0.0." + name, ZoneId(zone)}),
               StoreRevision(1), StoreLeaseId(1)});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(instance_records)

BOOST_AUTO_TEST_CASE(members_rank_in_the_order_of_their_names) {
  InstanceRecords records;
  for (const char* name : {"3", "1", "2"}) PutMember(records, name, "a");
  records.Put({kRolloutHolderKey, "1", StoreRevision(2), StoreLeaseId(2)});
  const std::string prefix = kMemberPrefix;
  BOOST_TEST(records.MemberRank(prefix + "1") == 0);
  BOOST_TEST(records.MemberRank(prefix + "3") == 2);
  // A member without a key ranks where its name would sort.
  BOOST_TEST(records.MemberRank(prefix + "4") == 3);
  records.Remove(prefix + "1");
  BOOST_TEST(records.MemberRank(prefix + "3") == 1);
}

BOOST_AUTO_TEST_CASE(first_member_of_a_zone_is_its_relay) {
  InstanceRecords records;
  PutMember(records, "1", "a");
  PutMember(records, "2", "b");
  PutMember(records, "3", "b");
  BOOST_TEST(records.ZoneRelay(ZoneId("b"))->address == "10.0.0.2");
  BOOST_TEST(!records.ZoneRelay(ZoneId("c")).has_value());
}

BOOST_AUTO_TEST_CASE(one_instance_watches_the_store_for_all) {
  InstanceRecords records;
  for (const char* name : {"1", "2", "3", "4"}) PutMember(records, name, name[0] < '3' ? "a" : "b");
  const auto relay_for = [&](const std::string& name, const std::string& zone,
                             const std::set<std::string>& unresponsive = {}) {
    const auto relay =
        records.RelayPositionOf(kMemberPrefix + name, ZoneId(zone), unresponsive).upstream;
    return relay ? relay->address : "";
  };
  BOOST_TEST(relay_for("1", "a") == "");
  BOOST_TEST(relay_for("2", "a") == "10.0.0.1");
  BOOST_TEST(relay_for("3", "b") == "10.0.0.1");
  BOOST_TEST(relay_for("4", "b") == "10.0.0.3");
  // An unresponsive relay is skipped, also by the next member in line.
  BOOST_TEST(relay_for("4", "b", {"10.0.0.3"}) == "10.0.0.1");
  BOOST_TEST(relay_for("3", "b", {"10.0.0.1"}) == "10.0.0.2");
  BOOST_TEST(relay_for("2", "a", {"10.0.0.1"}) == "");
  BOOST_TEST(relay_for("1", "a", {"10.0.0.1"}) == "");
  // A member without a key uses the first instance.
  BOOST_TEST(relay_for("9", "c") == "10.0.0.1");
}

// The load: every instance of a fleet follows the store at the same time. What a relay sends and
// how long a change travels must not grow with the fleet, or only with its logarithm.
BOOST_AUTO_TEST_CASE(load_of_a_relay_does_not_grow_with_the_fleet) {
  constexpr int kZones = 6;
  for (const int size : {30, 240, 960, 3'840}) {
    InstanceRecords records;
    for (int i = 0; i < size; ++i) {
      PutMember(records, std::to_string(10'000 + i), "z" + std::to_string(i % kZones));
    }
    std::map<std::string, std::size_t> followers;
    std::size_t max_depth = 0;
    std::size_t roots = 0;
    for (int i = 0; i < size; ++i) {
      const std::string key = kMemberPrefix + std::to_string(10'000 + i);
      const RelayPosition position =
          records.RelayPositionOf(key, ZoneId("z" + std::to_string(i % kZones)), {});
      max_depth = std::max(max_depth, position.depth);
      if (!position.upstream) ++roots;
      if (position.upstream) ++followers[position.upstream->address];
    }
    BOOST_TEST(roots == 1U);
    for (const auto& [relay, count] : followers) {
      BOOST_TEST(count <= InstanceRecords::kRelayFanOut + kZones - 1);
    }
    BOOST_TEST(max_depth <= 1 + std::ceil(std::log2(size / kZones)));
  }
}

BOOST_AUTO_TEST_CASE(version_changes_only_with_the_members) {
  InstanceRecords records;
  PutMember(records, "1", "a");
  const std::uint64_t version = records.members_version();
  PutMember(records, "1", "a");
  records.Put({kRolloutHolderKey, "1", StoreRevision(2), StoreLeaseId(2)});
  records.Remove(kRolloutHolderKey);
  BOOST_TEST(records.members_version() == version);
  records.Put({std::string(kMemberPrefix) + "1", "malformed", StoreRevision(3), StoreLeaseId(1)});
  BOOST_TEST(records.members_version() != version);
  BOOST_TEST(records.Members().empty());
}

// The load: a start of all, when each of a thousand members registers. Work that grows with the
// square of the members takes minutes at this number.
BOOST_AUTO_TEST_CASE(many_members_register_one_by_one, *boost::unit_test::timeout(20)) {
  constexpr std::size_t kMembers = 100'000;
  InstanceRecords records;
  for (std::size_t i = 0; i < kMembers; ++i) PutMember(records, std::to_string(i), "a");
  BOOST_TEST(records.Members().size() == kMembers);
}

BOOST_AUTO_TEST_SUITE_END()
