#include "control/rollout_pace.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const ModelId kModel("m");

/// A rollout of weights 2 to one engine, by an instance that asks others what runs there.
struct Fixture {
  net::io_context io;
  Metrics metrics;
  GatewayState state{io.get_executor(), ZoneId("a"), {}, {}, metrics};
  RolloutOptions options;
  RolloutPace pace{state, options};
  RolloutStep step;

  Fixture() {
    BackendEntry entry;
    entry.id = BackendId("e");
    entry.service = ServiceId("s");
    entry.weights[kModel] = WeightsNumber(1);
    state.directory().Put(entry);
    step.engine = state.directory().Find(entry.id);
    step.model = kModel;
    state.named_weights().Record(kModel, WeightsNumber(2), Clock::now(), false);
    state.SetLoadAsker([](LoadQuestion) -> net::awaitable<LoadAnswer> { co_return LoadAnswer(); });
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(rollout_pace, Fixture)

// The pattern: the tracker of an engine is in another region, or does not answer. Its engine looks
// idle, and a load that aborts requests would break streams that nobody can resume.
BOOST_AUTO_TEST_CASE(requests_of_an_engine_whose_load_is_unknown_are_not_aborted) {
  const TimePoint now = Clock::now();
  BOOST_TEST((pace.ModeFor(step, now) == ReloadMode::kContinueRequests));
  step.engine->peers_updated_at = now;
  BOOST_TEST((pace.ModeFor(step, now) == ReloadMode::kAbortRequests));
  BOOST_TEST((pace.ModeFor(step, now + 2s) == ReloadMode::kContinueRequests));
}

// In a small fleet every instance reports its load unasked.
BOOST_AUTO_TEST_CASE(idle_engine_of_a_small_fleet_loads_at_once) {
  state.SetLoadAsker({});
  BOOST_TEST((pace.ModeFor(step, Clock::now()) == ReloadMode::kAbortRequests));
}

BOOST_AUTO_TEST_SUITE_END()
