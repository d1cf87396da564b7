// Simulated fleets whose engines crash on a prompt part, by themselves, or both. Guards against
// requests that are sent on, no two of them alike, after the part has crashed five engines, and
// against sound requests that are rejected because they share their other parts with these.

#include "part_simulation.h"

#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace ridgehold::test;

namespace {

constexpr int kSeeds = 6;
/// Requests with the part that may reach engines later than 3 s after the fifth crash.
constexpr std::uint64_t kMaxLateSends = 3;

constexpr auto kPatterns = {CrashPattern::kIndependent, CrashPattern::kRelease,
                            CrashPattern::kZoneLost, CrashPattern::kFlapping};

PartSimulationResult Simulate(PartSimulationConfig config, int seed) {
  config.seed = static_cast<std::uint64_t>(seed);
  return RunPartSimulation(config);
}

/// Checks each of the rule's promises in simulations with several seeds.
void CheckPromises(const PartSimulationConfig& config) {
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const PartSimulationResult result = Simulate(config, seed);
    BOOST_TEST_CONTEXT(config.servers << " servers, " << NameOf(config.pattern) << ", "
                                      << config.crash_requests_per_s << "/s, seed " << seed) {
      BOOST_TEST(result.identified);
      BOOST_TEST(result.late_sends <= kMaxLateSends);
      BOOST_TEST(result.siblings_served * 2 >= result.siblings_late);
      BOOST_TEST(result.rejected * 500 <= result.sound);
    }
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(part_simulation)

BOOST_AUTO_TEST_CASE(part_is_identified_in_fleets_of_any_size) {
  for (const int servers : {9, 36}) {
    for (const double rate : {2.0, 5.0, 20.0}) {
      CheckPromises({.servers = servers, .crash_requests_per_s = rate});
    }
  }
}

BOOST_AUTO_TEST_CASE(part_is_identified_in_a_large_fleet) {
  CheckPromises({.servers = 120, .gateways = 16, .crash_requests_per_s = 5});
}

BOOST_AUTO_TEST_CASE(part_is_identified_among_other_crashes) {
  for (const CrashPattern pattern : kPatterns) {
    CheckPromises({.pattern = pattern, .crash_requests_per_s = 5});
  }
}

BOOST_AUTO_TEST_CASE(part_that_was_sound_is_identified) {
  for (const double rate : {2.0, 5.0}) {
    CheckPromises({.crash_requests_per_s = rate, .was_sound = true});
  }
}

// Guards against a verdict on a part that is always sent together with the cause.
BOOST_AUTO_TEST_CASE(companion_of_the_part_is_not_blamed) {
  PartSimulationConfig config{.crash_requests_per_s = 5, .same_subject = true};
  CheckPromises(config);
  for (int seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST(Simulate(config, seed).false_verdicts == 0U);
  }
}

BOOST_AUTO_TEST_CASE(part_of_one_workspace_is_identified) {
  CheckPromises({.crash_requests_per_s = 5, .crash_workspaces = 1});
}

BOOST_AUTO_TEST_CASE(other_crashes_lead_to_no_verdict) {
  for (const int servers : {9, 36}) {
    for (const CrashPattern pattern : kPatterns) {
      for (int seed = 1; seed <= kSeeds; ++seed) {
        const PartSimulationResult result =
            Simulate({.servers = servers, .pattern = pattern}, seed);
        BOOST_TEST(result.crashes > 0U);
        BOOST_TEST(result.false_verdicts == 0U);
      }
    }
  }
}

// All engines crash within a second, so nothing is left that could exonerate a part.
BOOST_AUTO_TEST_CASE(outage_of_a_whole_fleet_leads_to_few_rejections) {
  std::uint64_t sound = 0;
  std::uint64_t rejected = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const PartSimulationResult result = Simulate({.pattern = CrashPattern::kCascade}, seed);
    sound += result.sound;
    rejected += result.rejected;
  }
  BOOST_TEST(rejected * 50 <= sound);
}

BOOST_AUTO_TEST_CASE(without_attribution_the_part_crashes_many_engines) {
  PartSimulationConfig config{.crash_requests_per_s = 5};
  config.rule.min_crashes = 0;
  const PartSimulationResult result = Simulate(config, 1);
  BOOST_TEST(!result.identified);
  BOOST_TEST(result.late_sends > 10U);
}

BOOST_AUTO_TEST_SUITE_END()
