#include "routing/router.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "config/change_log.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{std::chrono::hours(1)};
const WeightsVersion kWeights("w1");

Config ConfigOf(const std::string& script) {
  return ValueOr([&] { return ApplyScript(Config(), script); },
                 [](const Failure&) { return Config(); });
}

std::string Engines(int count) {
  std::string script = "create model m weights w1\n";
  for (int i = 0; i < count; ++i) {
    script += "create backend e" + std::to_string(i) +
              " url http://127.0.0.1:" + std::to_string(1000 + i) + " zone " +
              (i % 2 == 0 ? "near" : "far") + " engine m\n";
  }
  return script;
}

LoadReport Report(const std::string& incarnation, const std::string& weights = "w1") {
  return {Incarnation(incarnation), WeightsVersion(weights), 0, 8'000, false};
}

ModelQuery Query(std::span<const BlockHash> chain, std::set<BackendId> excluded = {}) {
  ModelQuery query;
  query.selection = {ModelId("m"), {}, kWeights, std::move(excluded)};
  query.chain = chain;
  query.prompt_tokens = chain.size() * kBlockTokens;
  return query;
}

std::optional<Route> Choose(Router& router, const ModelQuery& query, TimePoint now = kStart) {
  return ValueOr(
      [&]() -> Result<std::optional<Route>> {
        BOOST_LEAF_AUTO(route, router.RouteModel(query, now));
        return std::optional(std::move(route));
      },
      [](const Failure&) { return std::optional<Route>(); });
}

std::vector<BlockHash> Chain(BlockHash first, std::size_t size) {
  std::vector<BlockHash> chain(size);
  for (std::size_t i = 0; i < size; ++i) chain[i] = first + i;
  return chain;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(router)

RC_BOOST_PROP(never_chooses_what_is_drained_leaving_excluded_or_has_other_weights, ()) {
  constexpr int kEngines = 5;
  Router router(ZoneId("near"), 10ms, 1'000);
  std::string script = Engines(kEngines);
  std::set<std::string> barred;
  std::set<BackendId> platform_leaving;
  std::set<BackendId> excluded;
  std::vector<LoadReport> reports;
  for (int i = 0; i < kEngines; ++i) {
    const std::string id = "e" + std::to_string(i);
    const int why = *rc::gen::inRange(0, 9);
    LoadReport report = Report("i");
    if (why == 0) script += "drain backend " + id + "\n";
    if (why == 1) platform_leaving.insert(BackendId(id));
    if (why == 2) excluded.insert(BackendId(id));
    if (why == 3) report.weights = WeightsVersion("w2");
    if (why == 4) report.leaving = true;
    if (why <= 4) barred.insert(id);
    reports.push_back(report);
  }
  router.Update(ConfigOf(script));
  router.SetLeaving(platform_leaving);
  for (int i = 0; i < kEngines; ++i) {
    router.TakeReport(BackendId("e" + std::to_string(i)), reports[static_cast<std::size_t>(i)],
                      kStart);
  }
  const auto chain = Chain(1, 3);
  for (const PolicyKind policy : {PolicyKind::kPrefixCost, PolicyKind::kPrefixHash,
                                  PolicyKind::kLeastLoaded, PolicyKind::kRoundRobin}) {
    ModelQuery query = Query(chain, excluded);
    query.policy = policy;
    const auto route = Choose(router, query);
    RC_ASSERT(route.has_value() == (barred.size() < kEngines));
    if (route) RC_ASSERT(!barred.contains(route->backend.value()));
  }
}

BOOST_AUTO_TEST_CASE(a_shared_prefix_goes_where_it_was_sent_before) {
  Router router(ZoneId("near"), 10ms, 10'000);
  router.Update(ConfigOf(Engines(6)));
  const auto chain = Chain(1, 50);
  const auto first = Choose(router, Query(chain));
  router.NoteFirstToken(*first);
  router.NoteEnd(*first, true);
  const auto again = Choose(router, Query(chain));
  BOOST_TEST(again->backend == first->backend);
  BOOST_TEST(again->cached_blocks == 50U);
}

BOOST_AUTO_TEST_CASE(a_long_queue_outweighs_a_cached_prefix) {
  Router router(ZoneId("near"), 10ms, 10'000);
  router.Update(ConfigOf(Engines(2)));
  const auto chain = Chain(1, 10);
  const auto first = Choose(router, Query(chain));
  router.NoteFirstToken(*first);
  LoadReport busy = Report("i");
  busy.waiting_tokens = 100'000;
  router.TakeReport(first->backend, busy, kStart);
  router.TakeStored(first->backend, Incarnation("i"), chain, kStart);
  BOOST_TEST(Choose(router, Query(chain))->backend != first->backend);
}

BOOST_AUTO_TEST_CASE(own_requests_in_flight_count_at_once) {
  Router router(ZoneId("near"), 1ms, 10'000);
  router.Update(ConfigOf(Engines(2)));
  std::set<std::string> used;
  for (BlockHash i = 0; i < 2; ++i) {
    used.insert(Choose(router, Query(Chain(1'000 * (i + 1), 50)))->backend.value());
  }
  BOOST_TEST(used.size() == 2U);
}

BOOST_AUTO_TEST_CASE(nothing_seen_under_an_earlier_incarnation_or_other_weights_counts) {
  Router router(ZoneId("near"), 10ms, 10'000);
  router.Update(ConfigOf(Engines(1)));
  const auto chain = Chain(1, 10);
  const BackendId engine("e0");
  router.TakeReport(engine, Report("i1"), kStart);
  router.TakeStored(engine, Incarnation("i1"), chain, kStart);
  BOOST_TEST(router.Explain(Query(chain), kStart).front().cached_blocks == 10U);
  router.TakeReport(engine, Report("i2"), kStart);
  BOOST_TEST(router.Explain(Query(chain), kStart).front().cached_blocks == 0U);
  // A late event of the earlier incarnation changes nothing.
  router.TakeStored(engine, Incarnation("i1"), chain, kStart);
  BOOST_TEST(router.Explain(Query(chain), kStart).front().cached_blocks == 0U);
  router.TakeStored(engine, Incarnation("i2"), chain, kStart);
  BOOST_TEST(router.Explain(Query(chain), kStart).front().cached_blocks == 10U);
  router.TakeReport(engine, Report("i2", "w2"), kStart);
  router.TakeReport(engine, Report("i2", "w1"), kStart);
  BOOST_TEST(router.Explain(Query(chain), kStart).front().cached_blocks == 0U);
}

BOOST_AUTO_TEST_CASE(another_address_under_the_same_id_is_another_server) {
  Router router(ZoneId("near"), 10ms, 10'000);
  const Config config = ConfigOf(Engines(1));
  router.Update(config);
  router.TakeReport(BackendId("e0"), Report("i1"), kStart);
  router.TakeStored(BackendId("e0"), Incarnation("i1"), Chain(1, 10), kStart);
  router.Update(ConfigOf(Engines(1) + "change backend e0 url http://127.0.0.1:9\n"));
  const auto route = Choose(router, Query(Chain(1, 10)));
  BOOST_TEST(route->incarnation.value() == "");
  BOOST_TEST(route->cached_blocks == 0U);
}

BOOST_AUTO_TEST_CASE(a_failed_server_is_left_alone_for_a_growing_while) {
  Router router(ZoneId("near"), 10ms, 10'000);
  router.Update(ConfigOf(Engines(1)));
  const auto chain = Chain(1, 1);
  const auto route = Choose(router, Query(chain));
  router.NoteEnd(*route, false);
  router.NoteFailure(*route, kStart);
  BOOST_TEST(!Choose(router, Query(chain), kStart + 99ms).has_value());
  BOOST_TEST(Choose(router, Query(chain), kStart + 100ms).has_value());
  router.NoteFailure(*route, kStart);
  BOOST_TEST(!Choose(router, Query(chain), kStart + 150ms).has_value());
}

BOOST_AUTO_TEST_CASE(all_daemons_place_an_unknown_prefix_alike) {
  std::set<std::string> chosen;
  for (int i = 0; i < 4; ++i) {
    Router router(ZoneId("near"), 0ms, 10'000);
    router.Update(ConfigOf(Engines(8)));
    // Each has seen other requests before.
    for (int k = 0; k < i; ++k) {
      const auto route = Choose(router, Query(Chain(77, 1)));
      router.NoteEnd(*route, false);
    }
    chosen.insert(Choose(router, Query(Chain(1, 40)))->backend.value());
  }
  BOOST_TEST(chosen.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
