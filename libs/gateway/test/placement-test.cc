#include "gateway/placement.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const ModelId kModel("m");
const TimePoint kNow{1h};

BackendPtr MakeBackend(const std::string& id, const std::string& zone = "a") {
  auto backend = std::make_shared<Backend>();
  backend->entry.id = BackendId(id);
  backend->entry.zone = ZoneId(zone);
  backend->weights[kModel] = WeightsNumber(1);
  return backend;
}

GenerationRequest Generation() {
  GenerationRequest request;
  request.model = kModel;
  request.prompt_tokens = 9'000;
  request.parts = {{1, 2'500}, {2, 3'500}, {3, 3'000}};
  return request;
}

struct Fixture {
  std::vector<BackendPtr> backends = {MakeBackend("x"), MakeBackend("y"), MakeBackend("z")};
  PromptChain chain = PromptChain::Of(Generation(), "shared");
  PlacementQuery query;
  PlacementCosts costs;

  Fixture() {
    query.own_zone = ZoneId("a");
    query.chain = &chain;
    query.model = kModel;
    query.newest_weights = WeightsNumber(1);
    query.cache_tokens = 100'000;
    query.now = kNow;
  }

  void AddToCache(const BackendPtr& backend, std::chrono::milliseconds ago) {
    backend->cache.Use(chain.parts, chain.own_tokens(), query.cache_tokens, kNow - ago);
  }

  /// The homes of prompts with the same first part that are cached nowhere.
  std::set<std::size_t> HomesOfNewPrompts() {
    std::set<std::size_t> homes;
    GenerationRequest request = Generation();
    for (std::uint64_t subject = 10; subject < 40; ++subject) {
      request.parts[1].id = subject;
      chain = PromptChain::Of(request, "shared");
      homes.insert(ChooseBackend(query, backends, costs).index);
    }
    return homes;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(placement, Fixture)

BOOST_AUTO_TEST_CASE(chain_excludes_the_requests_own_part_and_depends_on_the_scope) {
  BOOST_TEST(chain.parts.size() == 2);
  BOOST_TEST(chain.shared_tokens == 6'000);
  BOOST_TEST(PromptChain::Of(Generation(), "w:1").parts[0].hash != chain.parts[0].hash);
}

BOOST_AUTO_TEST_CASE(prompt_is_placed_where_its_parts_are_cached) {
  for (const BackendPtr& holder : backends) {
    for (const BackendPtr& backend : backends) backend->cache.Clear();
    AddToCache(holder, 1s);
    const Placement chosen = ChooseBackend(query, backends, costs);
    BOOST_TEST(backends[chosen.index] == holder);
    BOOST_TEST(chosen.cached_tokens == 6'000);
    BOOST_TEST(!chosen.lacks_parts);
  }
}

BOOST_AUTO_TEST_CASE(parts_are_fetched_from_a_busy_holder) {
  AddToCache(backends[1], 1s);
  backends[1]->unprefilled_tokens = 60'000;
  const Placement chosen = ChooseBackend(query, backends, costs);
  BOOST_TEST(chosen.index != 1);
  BOOST_REQUIRE(chosen.source.has_value());
  BOOST_TEST((chosen.source->engine == std::optional<std::size_t>(1)));
  BOOST_TEST(chosen.lacks_parts);
  BOOST_TEST(chosen.cached_tokens == 6'000);
  BOOST_TEST(chosen.known_tokens == 0);
}

// Models engines and one store with links of the same speed (nine engines in the deployment), where
// the parts of a prompt occupy a link for 46 ms and the misses saturate the store's link.
BOOST_AUTO_TEST_CASE(parts_are_fetched_from_the_source_whose_link_is_free_first) {
  TransferLinks links;
  query.links = &links;
  query.engine_ms_per_token = 0.0073;
  query.store = KvStoreView{ZoneId("a"), LinkOf("store"), 0.0073, nullptr};
  backends[1]->entry.address = "y:1";
  AddToCache(backends[1], 1s);
  backends[1]->unprefilled_tokens = 60'000;
  links.Reserve(LinkOf("store"), 100ms, kNow);
  Placement chosen = ChooseBackend(query, backends, costs);
  BOOST_REQUIRE(chosen.source.has_value());
  BOOST_TEST(chosen.source->engine.has_value());
  links.Reserve(LinkOf("y:1"), 400ms, kNow);
  chosen = ChooseBackend(query, backends, costs);
  BOOST_REQUIRE(chosen.source.has_value());
  BOOST_TEST(!chosen.source->engine.has_value());
}

BOOST_AUTO_TEST_CASE(parts_are_recomputed_if_every_link_is_busy_for_longer) {
  TransferLinks links;
  query.links = &links;
  query.store = KvStoreView{ZoneId("a"), LinkOf("store"), 0.0073, nullptr};
  links.Reserve(LinkOf("store"), 1s, kNow);
  const Placement chosen = ChooseBackend(query, backends, costs);
  BOOST_TEST(!chosen.source.has_value());
  BOOST_TEST(chosen.lacks_parts);
  BOOST_TEST(chosen.cached_tokens == 0);
}

BOOST_AUTO_TEST_CASE(store_holds_only_parts_saved_under_the_same_weights) {
  EngineCache stored;
  query.store = KvStoreView{ZoneId("a"), LinkOf("store"), 0.0073, &stored};
  stored.Use(StoredParts(chain.parts, WeightsNumber(2)), 0, 100'000, kNow - 1s);
  BOOST_TEST(!ChooseBackend(query, backends, costs).source.has_value());
  stored.Use(StoredParts(chain.parts, WeightsNumber(1)), 0, 100'000, kNow - 1s);
  BOOST_TEST(ChooseBackend(query, backends, costs).source.has_value());
}

BOOST_AUTO_TEST_CASE(parts_being_prefilled_cannot_be_fetched) {
  AddToCache(backends[1], 50ms);
  backends[1]->unprefilled_tokens = 60'000;
  const Placement chosen = ChooseBackend(query, backends, costs);
  BOOST_TEST(!chosen.source.has_value());
}

BOOST_AUTO_TEST_CASE(evicted_parts_count_as_missing) {
  AddToCache(backends[1], 1s);
  backends[1]->cache.Use({}, 95'000, query.cache_tokens, kNow);
  BOOST_TEST(ChooseBackend(query, backends, costs).lacks_parts);
}

BOOST_AUTO_TEST_CASE(load_of_other_gateways_counts) {
  AddToCache(backends[1], 1s);
  backends[1]->peers.unread_tokens = 60'000;
  BOOST_TEST(ChooseBackend(query, backends, costs).index != 1);
}

BOOST_AUTO_TEST_CASE(backend_servers_on_hold_or_failing_are_chosen_last) {
  AddToCache(backends[1], 1s);
  backends[1]->hold_until = kNow + 1s;
  BOOST_TEST(ChooseBackend(query, backends, costs).index != 1);
  for (const BackendPtr& backend : backends) backend->avoid_until = kNow + 1s;
  backends[1]->hold_until = {};
  BOOST_TEST(ChooseBackend(query, backends, costs).index == 1);
}

BOOST_AUTO_TEST_CASE(backend_servers_in_cool_down_at_other_gateways_are_chosen_last) {
  AddToCache(backends[1], 1s);
  for (const std::uint64_t other : {1, 2})
    backends[1]->notice_state.RecordPeerBackoff(other, kNow + 1s, kNow);
  BOOST_TEST(ChooseBackend(query, backends, costs).index != 1);
  const std::vector<BackendPtr> alone = {backends[1]};
  BOOST_TEST(ChooseBackend(query, alone, costs).index == 0);
}

BOOST_AUTO_TEST_CASE(newest_weights_are_preferred_after_the_free_period) {
  query.newest_weights = WeightsNumber(2);
  backends[2]->weights[kModel] = WeightsNumber(2);
  query.newest_announced_at = kNow - 3s;
  costs.older_weights = 500;
  BOOST_TEST(ChooseBackend(query, backends, costs).index == 2);
}

BOOST_AUTO_TEST_CASE(parts_are_fetched_only_from_engines_with_the_same_weights) {
  query.newest_weights = WeightsNumber(2);
  backends[1]->weights[kModel] = WeightsNumber(2);
  AddToCache(backends[1], 1s);
  backends[1]->unprefilled_tokens = 200'000;
  const Placement chosen = ChooseBackend(query, backends, costs);
  BOOST_TEST(chosen.index != 1);
  BOOST_TEST(!chosen.source.has_value());
}

BOOST_AUTO_TEST_CASE(home_is_in_the_segment_of_the_prompts_first_part) {
  for (double begin : {0.0, 0.4, 0.7}) {
    query.segment = {begin, 0.01};
    BOOST_TEST(HomesOfNewPrompts().size() == 1);
  }
  query.segment = {0, 1};
  BOOST_TEST(HomesOfNewPrompts().size() == 3);
}

BOOST_AUTO_TEST_CASE(copy_cost_covers_only_missing_parts) {
  query.store = KvStoreView{ZoneId("a")};
  AddToCache(backends[1], 1s);
  backends[1]->unprefilled_tokens = 600'000;
  // Holds the first of the two shared parts.
  backends[2]->cache.Use({&chain.parts[0], 1}, 0, query.cache_tokens, kNow - 1s);
  costs.copy_token = 1;
  costs.store_token = 1;
  BOOST_TEST(ChooseBackend(query, backends, costs).index == 2);
}

BOOST_AUTO_TEST_CASE(plain_call_goes_to_the_least_loaded) {
  query.chain = nullptr;
  backends[0]->in_flight = 2;
  backends[1]->peers.running = 1;
  BOOST_TEST(ChooseBackend(query, backends, costs).index == 2);
}

// The pattern: a quarter of the engines is less than half as fast as the others.
BOOST_AUTO_TEST_CASE(slow_engine_counts_as_longer_queued_where_performance_is_used) {
  for (const BackendPtr& backend : backends) AddToCache(backend, 1s);
  backends[1]->unprefilled_tokens = backends[2]->unprefilled_tokens = 5'000;
  backends[0]->reported_performance.Update({3'500, 250}, kNow);
  const Placement slow = ChooseBackend(query, backends, costs);
  BOOST_TEST(slow.index == 0);
  query.uses_performance = true;
  BOOST_TEST(ChooseBackend(query, backends, costs).index != 0);
  const std::vector<BackendPtr> alone = {backends[0]};
  BOOST_TEST(ChooseBackend(query, alone, costs).first_event_ms == 3.5 * slow.first_event_ms,
             boost::test_tools::tolerance(1e-9));
}

// A stream loses less by more tokens to prefill elsewhere than by a pause behind a queue.
BOOST_AUTO_TEST_CASE(stream_avoids_queued_prefill_that_would_make_it_pause) {
  query.uses_performance = true;
  AddToCache(backends[1], 1s);
  backends[1]->unprefilled_tokens = 5'000;
  costs.copy_token = 0;
  costs.fetch_call = 1'000;
  BOOST_TEST(ChooseBackend(query, backends, costs).index == 1);
  query.pause_cost = {.average_pause_ms = 60, .objective_ms = 200, .max_cost_ms = 100};
  BOOST_TEST(ChooseBackend(query, backends, costs).index != 1);
  query.pause_cost.max_cost_ms = 0;
  BOOST_TEST(ChooseBackend(query, backends, costs).index == 1);
}

RC_BOOST_FIXTURE_PROP(all_gateways_agree_on_the_home_of_a_new_prompt, Fixture, ()) {
  GenerationRequest request = Generation();
  request.parts[1].id = *rc::gen::arbitrary<std::uint64_t>();
  chain = PromptChain::Of(request, "shared");
  query.tie_break = *rc::gen::arbitrary<std::uint64_t>();
  const Placement one = ChooseBackend(query, backends, costs);
  query.tie_break = *rc::gen::arbitrary<std::uint64_t>();
  const Placement other = ChooseBackend(query, backends, costs);
  RC_ASSERT(one.index == other.index);
}

BOOST_AUTO_TEST_SUITE_END()
