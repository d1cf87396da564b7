#include "performance/engine_performance.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

#include "performance/known_performance.h"
#include "performance/performance_meter.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

/// Twenty engines, the first five of them at 0.55 of nominal speed and the others at 1.2, with
/// 2.5 times slower periods of 600 ms, 15 % of the time. Ten gateways observe one pause of 50 ms at
/// nominal speed each per engine and second.
struct Fixture {
  static constexpr int kSlowEngines = 5;
  std::vector<EnginePerformance> engines = std::vector<EnginePerformance>(20);
  std::vector<PerformanceMeter> gateways = std::vector<PerformanceMeter>(10);
  std::minstd_rand random{5};

  bool Chance(double probability) {
    return std::uniform_real_distribution<double>()(random) < probability;
  }

  void Run(int periods) {
    constexpr double kSamplesPerPeriod = 0.6;
    for (int period = 0; period < periods; ++period) {
      for (std::size_t i = 0; i < engines.size(); ++i) {
        const double speed = (i < kSlowEngines ? 0.55 : 1.2) / (Chance(0.15) ? 2.5 : 1);
        const auto pause = std::chrono::duration_cast<Duration>(50ms / speed);
        for (PerformanceMeter& gateway : gateways) {
          if (!Chance(kSamplesPerPeriod)) continue;
          const auto sample = gateway.RecordPause(RequestGroup::kInteractive, pause);
          if (sample) engines[i].Add(*sample);
        }
      }
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(engine_performance, Fixture)

// The pattern: a quarter of the engines at less than half the speed of the others, and transient
// slow periods everywhere. Slow engines must lose homes, and no other may lose its cache because of
// a slow period.
BOOST_AUTO_TEST_CASE(slow_engines_lose_homes_and_slow_periods_cost_none) {
  Run(25);  // 15 s
  int weights_at_slow = 0;
  for (int more = 0; more < 50; ++more) {
    Run(1);
    for (std::size_t i = 0; i < engines.size(); ++i) {
      if (i >= kSlowEngines) BOOST_REQUIRE(engines[i].home_weight() == 1);
      if (i < kSlowEngines && engines[i].home_weight() < 1) ++weights_at_slow;
    }
  }
  BOOST_TEST(weights_at_slow > 0.95 * 50 * kSlowEngines);
  BOOST_TEST(engines.front().slowness() > 1.6 * engines.back().slowness());
}

BOOST_AUTO_TEST_CASE(home_weight_rises_only_well_below_the_threshold) {
  EnginePerformance engine;
  const auto weight_at = [&](double slowness) {
    engine.Add({100'000, slowness * 100'000});
    return engine.home_weight();
  };
  BOOST_TEST(weight_at(1.39) == 1);
  BOOST_TEST(weight_at(1.41) == 0.5);
  BOOST_TEST(weight_at(1.3) == 0.5);
  BOOST_TEST(weight_at(2.21) == 0.25);
  BOOST_TEST(weight_at(2.1) == 0.25);
  BOOST_TEST(weight_at(2.04) == 0.5);
  BOOST_TEST(weight_at(1.24) == 1);
}

// The failure: a gateway stands still or loses a connection, and sees waits of seconds.
BOOST_AUTO_TEST_CASE(single_stall_counts_as_four_usual_pauses) {
  PerformanceMeter meter;
  for (int i = 0; i < 50; ++i) meter.RecordPause(RequestGroup::kInteractive, 50ms);
  const auto stall = meter.RecordPause(RequestGroup::kInteractive, 3s);
  BOOST_REQUIRE(stall.has_value());
  BOOST_TEST(stall->expected_ms == 50, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(stall->observed_ms == 200, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(IsValid(*stall));
  EnginePerformance engine;
  engine.Add(*stall);
  BOOST_TEST(engine.home_weight() == 1);
}

BOOST_AUTO_TEST_CASE(observations_are_compared_once_the_average_of_their_group_is_known) {
  PerformanceMeter meter;
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(meter.RecordPause(RequestGroup::kInteractive, 40ms).has_value() == (i >= 16));
    meter.RecordFirstEvent(RequestGroup::kBulk, 100ms, 130ms);
  }
  BOOST_TEST(meter.AveragePause(RequestGroup::kInteractive) == 40,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(!meter.RecordPause(RequestGroup::kBulk, 40ms).has_value());
  const auto wait = meter.RecordFirstEvent(RequestGroup::kBulk, 200ms, 520ms);
  BOOST_REQUIRE(wait.has_value());
  BOOST_TEST(wait->observed_ms / wait->expected_ms == 2, boost::test_tools::tolerance(1e-9));
}

// The failure: the tracker of an engine is lost, or restarts and has observed nothing yet.
BOOST_AUTO_TEST_CASE(last_report_is_used_for_a_while_without_a_tracker) {
  const TimePoint now{1h};
  KnownPerformance known;
  BOOST_TEST(known.SlownessAt(now) == 1);
  known.Update({1'700, 500}, now);
  known.Update(EnginePerformance().Report(), now + 20s);
  BOOST_TEST(known.SlownessAt(now + 29s) == 1.7);
  BOOST_TEST(known.HomeWeightAt(now + 29s) == 0.5);
  BOOST_TEST(known.SlownessAt(now + 30s) == 1);
  BOOST_TEST(known.HomeWeightAt(now + 30s) == 1);
  known.Update({4'000'000'000, 0}, now);
  BOOST_TEST(known.SlownessAt(now) == EnginePerformance::kMaxSlowness);
  BOOST_TEST(known.HomeWeightAt(now) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
