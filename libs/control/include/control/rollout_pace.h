// How fast a rollout must go, and how gently it may treat what runs at an engine.

#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "control/backend_control.h"
#include "control/load_durations.h"
#include "control/rollout_options.h"
#include "control/rollout_plan.h"
#include "gateway/gateway_state.h"

namespace ridgehold {

/// Weighs the bound on older weights against the requests at the engines. Time
/// comes in as a value.
class RolloutPace {
 public:
  RolloutPace(GatewayState& state, const RolloutOptions& options)
      : state_(state), options_(options) {}

  /// The process has just started; see RolloutOptions::assumed_age_grace.
  void Start(TimePoint now) { started_ = now; }

  /// How many of `engines`, which are to be brought up, load at once: more as
  /// the bound comes near, since waiting for turns past it would keep requests
  /// on weights that are too old.
  std::uint32_t TurnsFor(const std::vector<RolloutStep>& engines, TimePoint now) const;

  /// A load that was ordered as one of `concurrency` took `took`.
  void NoteLoad(std::uint32_t concurrency, Duration took) {
    load_durations_.Record(concurrency, took);
  }

  /// How long an engine is waited for to empty, so that its order comes well
  /// before the bound.
  Duration DrainTime(const RolloutStep& step, TimePoint now) const;

  /// What happens to the runs there: resumable ones are broken off and go on
  /// elsewhere, as long as there are retries for them; others end first if that
  /// is short and there is time for the worst, else they go on under the new
  /// weights, so that no caller loses an answer. Without regard to retries,
  /// three rollouts in 9 s broke off 100 of 250 streams for good.
  ReloadMode ModeFor(const RolloutStep& step, TimePoint now) const;

  /// Requests there that cannot be resumed elsewhere.
  static std::uint32_t Unrepeatable(const RolloutStep& step) {
    return step.engine->unrepeatable + step.engine->peers.unrepeatable;
  }

  /// Others there that the gateways have no retries left for.
  std::uint32_t Uncovered(const RolloutStep& step, TimePoint now) const {
    return state_.Uncovered(*step.engine, now) + step.engine->peers.uncovered;
  }

  static std::uint32_t Running(const RolloutStep& step) {
    return step.engine->in_flight + step.engine->peers.running;
  }

 private:
  /// How long an engine may stand idle for the requests that end there.
  Duration DrainWorth(const RolloutStep& step, TimePoint now) const;

  /// How full the engines of a service are that take requests: 1 when they have
  /// as much to read as the shortest objective allows.
  double PressureAt(const ServiceId& service, TimePoint now) const;

  /// Until when requests may begin on the weights the engine has.
  std::optional<TimePoint> BoundOf(const RolloutStep& step, TimePoint now) const;

  GatewayState& state_;
  const RolloutOptions& options_;
  TimePoint started_{};
  LoadDurations load_durations_;
};

}  // namespace ridgehold
