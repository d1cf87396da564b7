// Named load patterns, played against modelled engines with a mechanism and without it.

#include <boost/test/unit_test.hpp>

#include "model/patterns.h"

using namespace ridgehold;
using namespace ridgehold::model;

namespace {

double InTime(const std::map<std::string, Outcome>& outcomes) {
  double in_time = 0;
  double requests = 0;
  for (const auto& [path, outcome] : outcomes) {
    in_time += outcome.in_time;
    requests += outcome.requests;
  }
  return in_time / requests;
}

std::map<std::string, Outcome> Play(const Pattern& pattern, bool admission,
                                    PlacementCosts weights = {}) {
  GatewayLimits limits;
  limits.admission.enabled = admission;
  return FleetModel(pattern, limits, weights).Play();
}

std::uint64_t SharedRead(const std::map<std::string, Outcome>& outcomes) {
  std::uint64_t tokens = 0;
  for (const auto& [path, outcome] : outcomes) tokens += outcome.shared_read;
  return tokens;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(load_patterns)

BOOST_AUTO_TEST_CASE(steady_load_is_in_time) {
  const auto outcomes = Play(RoofSurveys(), true);
  BOOST_TEST(InTime(outcomes) > 0.95);
}

// Rollout under load: more is to be read than the engines that are left can. Engines
// that are given everything at once make nearly all late.
BOOST_AUTO_TEST_CASE(too_few_engines_for_a_while_do_not_make_all_late) {
  for (std::uint32_t seed = 1; seed <= 5; ++seed) {
    Pattern pattern = RolloutUnderLoad();
    pattern.seed = seed;
    const double with = InTime(Play(pattern, true));
    const double without = InTime(Play(pattern, false));
    BOOST_TEST_INFO("seed " << seed << ": in time " << with << " with admission, " << without
                            << " without");
    BOOST_TEST(with > without + 0.03);
  }
}

// Everything waits longest under overload, but nothing is left waiting for good.
BOOST_AUTO_TEST_CASE(all_begin_after_an_overload) {
  for (const auto& [path, outcome] : Play(EnginesLost(), true)) {
    BOOST_TEST(outcome.begun == outcome.requests);
  }
}

BOOST_AUTO_TEST_CASE(engines_help_out_where_the_stores_link_is_full) {
  for (std::uint32_t seed = 1; seed <= 5; ++seed) {
    Pattern pattern = StoreLinkFull();
    pattern.seed = seed;
    PlacementCosts store_alone;
    store_alone.engines_as_sources = false;
    store_alone.watch_links = false;
    const auto with = Play(pattern, true);
    const auto without = Play(pattern, true, store_alone);
    BOOST_TEST_INFO("seed " << seed << ": in time " << InTime(with) << " and " << InTime(without)
                            << ", read " << SharedRead(with) << " and " << SharedRead(without));
    BOOST_TEST(InTime(with) > InTime(without) + 0.3);
  }
}

BOOST_AUTO_TEST_CASE(slow_engines_are_noticed) {
  PlacementCosts fixed;
  fixed.estimate_prefill_rate = false;
  const double observed = InTime(Play(SlowEngines(), true));
  const double settings = InTime(Play(SlowEngines(), true, fixed));
  BOOST_TEST_INFO("in time " << observed << " and " << settings);
  BOOST_TEST(observed > settings + 0.02);
}

// Eight of nine engines take a third of the requests that they got before. A limit counts
// requests, whatever their size: while small ones use it up, the engine without a limit reads
// more long prompts than it can, and nearly all are late.
BOOST_AUTO_TEST_CASE(limits_of_engines_are_used_up_by_the_largest_requests) {
  GatewayLimits limits;
  limits.backend_limits.used_fraction = 0;
  for (std::uint32_t seed = 1; seed <= 3; ++seed) {
    Pattern pattern = MostEnginesLimited();
    pattern.seed = seed;
    const double with = InTime(FleetModel(pattern, limits, {}).Play());
    pattern.spare_limited = false;
    const double without = InTime(FleetModel(pattern, limits, {}).Play());
    BOOST_TEST_INFO("seed " << seed << ": in time " << with << " and " << without);
    BOOST_TEST(with > 0.9);
    BOOST_TEST(with > without + 0.3);
  }
}

BOOST_AUTO_TEST_CASE(same_seed_gives_the_same_outcome) {
  const auto one = Play(RoofSurveys(), true);
  const auto other = Play(RoofSurveys(), true);
  for (const auto& [path, outcome] : one) {
    BOOST_TEST(outcome.in_time == other.at(path).in_time);
    BOOST_TEST(outcome.shared_read == other.at(path).shared_read);
  }
}

BOOST_AUTO_TEST_SUITE_END()
