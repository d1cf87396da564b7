#include "gateway/shortlist.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const ModelId kModel("m");
const TimePoint kNow{1h};

/// 240 engines in six zones, as in a fleet of 295 gateways.
struct Fixture {
  std::vector<BackendPtr> engines;
  PromptChain chain;
  ShortlistQuery query;
  ShortlistSizes sizes;

  Fixture() {
    for (int i = 0; i < 240; ++i) {
      auto engine = std::make_shared<Backend>();
      engine->entry.id = BackendId("e" + std::to_string(i));
      engine->entry.zone = ZoneId("z" + std::to_string(i % 6));
      engine->weights[kModel] = WeightsNumber(1);
      engines.push_back(std::move(engine));
    }
    query.own_zone = ZoneId("z0");
    query.gateway = 11;
    query.chain = &chain;
    query.model = kModel;
    query.newest_weights = WeightsNumber(1);
    query.now = kNow;
    SetPrompt(6'300);
  }

  void SetPrompt(std::uint32_t tokens, std::uint64_t subject = 5) {
    chain.parts = {{subject, tokens}};
    chain.shared_tokens = tokens;
    chain.prompt_tokens = tokens + 2'900;
  }

  std::set<std::string> Ids(const std::vector<BackendPtr>& list) const {
    std::set<std::string> ids;
    for (const BackendPtr& engine : list) ids.insert(engine->entry.id.value());
    return ids;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(shortlist, Fixture)

BOOST_AUTO_TEST_CASE(long_prefix_polls_its_homes_and_random_engines_of_the_own_zone) {
  const auto first = Shortlist(query, engines);
  BOOST_TEST(first.size() == sizes.homes + sizes.random_picks);
  query.random_seed = 9;
  const auto second = Shortlist(query, engines);
  BOOST_TEST((first[0] == second[0]));
  BOOST_TEST((first[1] == second[1]));
  for (std::size_t i = sizes.homes; i < first.size(); ++i) {
    BOOST_TEST((first[i]->entry.zone == query.own_zone));
  }
  BOOST_TEST(Ids(first).size() == first.size());
}

BOOST_AUTO_TEST_CASE(homes_are_the_same_for_all_gateways_and_cover_all_engines) {
  std::map<std::string, int> homes;
  for (std::uint64_t subject = 0; subject < 2'616; ++subject) {
    SetPrompt(6'300, subject);
    query.own_zone = ZoneId("z0");
    query.gateway = 11;
    const auto here = Shortlist(query, engines);
    query.own_zone = ZoneId("z4");
    query.gateway = 12;
    BOOST_REQUIRE(Shortlist(query, engines)[0] == here[0]);
    ++homes[here[0]->entry.id.value()];
  }
  BOOST_TEST(homes.size() == 240U);
}

// A fifth of the engines at a time load new weights. If homes followed the newest weights, the
// first fifth would become the home of all prompts.
BOOST_AUTO_TEST_CASE(homes_stay_while_weights_are_loaded) {
  const auto before = Shortlist(query, engines);
  query.newest_weights = WeightsNumber(2);
  for (int i = 0; i < 48; ++i) {
    const BackendPtr& engine = engines[static_cast<std::size_t>(i)];
    if (engine != before[0] && engine != before[1]) engine->weights[kModel] = WeightsNumber(2);
  }
  const auto during = Shortlist(query, engines);
  BOOST_TEST((during[0] == before[0]));
  BOOST_TEST((during[1] == before[1]));
  BOOST_TEST((during[2]->weights.at(kModel) == WeightsNumber(2)));
}

// Slow engines must lose prompts in proportion, and no other engine may: each move costs a prefill.
BOOST_AUTO_TEST_CASE(home_weights_move_only_prompts_of_slow_engines) {
  constexpr int kSubjects = 4'000;
  std::set<BackendPtr> slow;
  for (std::size_t i = 0; i < engines.size(); i += 4) {
    engines[i]->reported_performance.Update({2'500, 250}, kNow);
    slow.insert(engines[i]);
  }
  int at_slow = 0;
  for (std::uint64_t subject = 0; subject < kSubjects; ++subject) {
    SetPrompt(6'300, subject);
    query.weighs_homes = false;
    const BackendPtr before = Shortlist(query, engines)[0];
    query.weighs_homes = true;
    const BackendPtr after = Shortlist(query, engines)[0];
    BOOST_REQUIRE((after == before || slow.contains(before)));
    at_slow += slow.contains(after) ? 1 : 0;
  }
  BOOST_TEST(at_slow == 0.25 / 3.25 * kSubjects, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(homes_move_to_loaded_engines_once_half_have_loaded) {
  query.newest_weights = WeightsNumber(2);
  for (std::size_t i = 0; i < 120; ++i) engines[i]->weights[kModel] = WeightsNumber(2);
  for (std::uint64_t subject = 0; subject < 50; ++subject) {
    SetPrompt(6'300, subject);
    for (const BackendPtr& engine : Shortlist(query, engines)) {
      BOOST_TEST((engine->weights.at(kModel) == WeightsNumber(2)));
    }
  }
}

BOOST_AUTO_TEST_CASE(homes_lie_in_the_segment_of_the_first_part) {
  query.segment = {0.5, 0.25};
  std::set<std::string> homes;
  for (std::uint64_t subject = 0; subject < 1'000; ++subject) {
    SetPrompt(6'300, subject);
    homes.insert(Shortlist(query, engines)[0]->entry.id.value());
  }
  BOOST_TEST(homes.size() > 35U);
  BOOST_TEST(homes.size() < 85U);
  // A rare first part stays on very few engines.
  query.segment = {0.5, 0};
  homes.clear();
  for (std::uint64_t subject = 0; subject < 100; ++subject) {
    SetPrompt(6'300, subject);
    homes.insert(Shortlist(query, engines)[0]->entry.id.value());
  }
  BOOST_TEST(homes.size() <= 6U);
}

BOOST_AUTO_TEST_CASE(short_prefixes_and_plain_calls_use_a_subset_of_the_own_zone) {
  SetPrompt(198);
  std::set<std::string> used;
  for (query.random_seed = 0; query.random_seed < 200; ++query.random_seed) {
    const auto list = Shortlist(query, engines);
    BOOST_TEST(list.size() == sizes.subset_sample);
    for (const BackendPtr& engine : list) {
      BOOST_TEST((engine->entry.zone == query.own_zone));
      used.insert(engine->entry.id.value());
    }
  }
  BOOST_TEST(used.size() == sizes.subset_size);
  query.gateway = 12;
  BOOST_TEST((Ids(Shortlist(query, engines)) != used));
  query.chain = nullptr;
  BOOST_TEST(Shortlist(query, engines).size() == sizes.subset_sample);
}

BOOST_AUTO_TEST_CASE(zone_with_few_engines_polls_other_zones_too) {
  SetPrompt(198);
  std::erase_if(engines, [&](const BackendPtr& engine) {
    return engine->entry.zone == query.own_zone && engine->entry.id != BackendId("e0");
  });
  const auto list = Shortlist(query, engines);
  BOOST_TEST(list.size() == sizes.subset_sample);
  BOOST_TEST(Ids(list).contains("e0"));
}

BOOST_AUTO_TEST_CASE(unhealthy_engines_are_polled_only_if_there_are_no_others) {
  const BackendPtr home = Shortlist(query, engines)[0];
  home->avoid_until = kNow + 1s;
  BOOST_TEST(!Ids(Shortlist(query, engines)).contains(home->entry.id.value()));
  const BackendPtr next = Shortlist(query, engines)[0];
  for (const std::uint64_t other : {1, 2})
    next->notice_state.RecordPeerBackoff(other, kNow + 1s, kNow);
  BOOST_TEST(!Ids(Shortlist(query, engines)).contains(next->entry.id.value()));
  for (const BackendPtr& engine : engines) engine->reachable = false;
  BOOST_TEST(!Shortlist(query, engines).empty());
}

BOOST_AUTO_TEST_CASE(extension_has_other_engines_of_all_zones) {
  const auto list = Shortlist(query, engines);
  std::set<std::string> zones;
  for (query.random_seed = 0; query.random_seed < 50; ++query.random_seed) {
    const auto more = ExtendShortlist(query, engines, list);
    BOOST_TEST(more.size() == sizes.extension);
    for (const BackendPtr& engine : more) {
      BOOST_TEST((std::ranges::find(list, engine) == list.end()));
      zones.insert(engine->entry.zone.value());
    }
  }
  BOOST_TEST(zones.size() == 6U);
}

RC_BOOST_FIXTURE_PROP(shortlist_has_no_duplicates_for_any_fleet, Fixture, ()) {
  engines.resize(*rc::gen::inRange<std::size_t>(1, 30));
  for (const BackendPtr& engine : engines) {
    engine->reachable = *rc::gen::arbitrary<bool>();
    engine->weights[kModel] = WeightsNumber(*rc::gen::inRange<std::uint64_t>(1, 3));
  }
  query.newest_weights = WeightsNumber(2);
  query.random_seed = *rc::gen::arbitrary<std::uint64_t>();
  SetPrompt(*rc::gen::elementOf(std::vector<std::uint32_t>{0, 198, 6'300}));
  const auto list = Shortlist(query, engines);
  RC_ASSERT(!list.empty());
  RC_ASSERT(Ids(list).size() == list.size());
  const auto more = ExtendShortlist(query, engines, list);
  RC_ASSERT(std::ranges::none_of(more, [&](const BackendPtr& engine) {
    return std::ranges::find(list, engine) != list.end();
  }));
}

// The pattern: short prompts with streams beside long prompts whose prefill delays them.
BOOST_AUTO_TEST_CASE(requests_are_polled_in_their_group) {
  for (int i = 0; i < 24; ++i) engines[static_cast<std::size_t>(i)]->in_interactive_group = true;
  const auto all_members = [](const std::vector<BackendPtr>& list) {
    return std::ranges::all_of(list,
                               [](const BackendPtr& one) { return one->in_interactive_group; });
  };
  const auto any_member = [](const std::vector<BackendPtr>& list) {
    return std::ranges::any_of(list,
                               [](const BackendPtr& one) { return one->in_interactive_group; });
  };
  for (query.random_seed = 0; query.random_seed < 50; ++query.random_seed) {
    SetPrompt(6'300, query.random_seed);
    query.group = RequestGroup::kBulk;
    const auto bulk = Shortlist(query, engines);
    BOOST_TEST(!any_member(bulk));
    BOOST_TEST(!any_member(ExtendShortlist(query, engines, bulk)));
    query.group = RequestGroup::kInteractive;
    const auto first = Shortlist(query, engines);
    BOOST_TEST(first.size() == sizes.members);
    BOOST_TEST((all_members(first) && first.front()->entry.zone == query.own_zone));
    const auto more = ExtendShortlist(query, engines, first);
    BOOST_TEST(more.size() == sizes.extension);
    BOOST_TEST(all_members(more));
  }
}

// The failure: no engine of a request's group may take it. It must not wait for one.
BOOST_AUTO_TEST_CASE(any_engine_is_polled_if_the_group_has_no_candidate) {
  query.group = RequestGroup::kInteractive;
  BOOST_TEST(Shortlist(query, engines).size() == sizes.homes + sizes.random_picks);
  for (const BackendPtr& engine : engines) engine->in_interactive_group = true;
  query.group = RequestGroup::kBulk;
  BOOST_TEST(Shortlist(query, engines).size() == sizes.homes + sizes.random_picks);
}

BOOST_AUTO_TEST_SUITE_END()
