#include "groups/engine_groups.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace ridgehold;

namespace {

std::vector<EngineGroups::Engine> Engines(std::size_t count, std::size_t zones) {
  std::vector<EngineGroups::Engine> engines;
  for (std::size_t i = 0; i < count; ++i) {
    engines.push_back({i * 0x9E3779B97F4A7C15, ZoneId("z" + std::to_string(i % zones))});
  }
  return engines;
}

std::set<std::size_t> MembersOf(const EngineGroups& groups, std::size_t size,
                                const std::set<std::size_t>& ill = {}) {
  const auto members =
      groups.Members(size, [&](std::size_t engine) { return !ill.contains(engine); });
  return {members.begin(), members.end()};
}

bool Includes(const std::set<std::size_t>& all, const std::set<std::size_t>& some) {
  return std::ranges::includes(all, some);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(engine_groups)

// Gateways with nearly the same demand must not place long prompts on each other's members.
RC_BOOST_PROP(groups_of_different_sizes_contain_each_other_and_every_zone, ()) {
  const auto engines = Engines(*rc::gen::inRange<std::size_t>(8, 200), 4);
  const auto size = *rc::gen::inRange<std::size_t>(1, engines.size() / 2);
  EngineGroups groups;
  groups.SetEngines(engines);
  const auto members = MembersOf(groups, size);
  RC_ASSERT(Includes(MembersOf(groups, size + 1), members));
  RC_ASSERT(members.size() >= size);
  std::set<ZoneId> zones;
  for (const std::size_t member : members) zones.insert(engines[member].zone);
  RC_ASSERT(zones.size() == 4U);
}

// The failure: an engine of the group crashes.
BOOST_AUTO_TEST_CASE(next_engine_of_the_zone_replaces_one_that_is_unhealthy) {
  const auto engines = Engines(112, 3);
  EngineGroups groups;
  groups.SetEngines(engines);
  const auto before = MembersOf(groups, 11);
  BOOST_TEST(before.size() == 12);  // 11 are divided among three zones
  const std::size_t crashed = *before.begin();
  auto after = MembersOf(groups, 11, {crashed});
  BOOST_TEST(after.size() == before.size());
  BOOST_TEST(!after.contains(crashed));
  after.insert(crashed);
  BOOST_TEST(Includes(after, before));
}

BOOST_AUTO_TEST_CASE(zone_without_healthy_engines_has_no_members) {
  EngineGroups groups;
  groups.SetEngines(Engines(6, 3));
  const auto members = MembersOf(groups, 2, {0, 3});
  BOOST_TEST((members.contains(1) != members.contains(4)));
  BOOST_TEST(members.size() == 2);
  BOOST_TEST(MembersOf(groups, 0).empty());
}

BOOST_AUTO_TEST_SUITE_END()
