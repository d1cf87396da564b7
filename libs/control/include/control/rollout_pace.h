// Decides how many engines of a rollout load concurrently, how long they drain, and what happens to
// the requests that they are running.

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

/// Balances the deadline, after which older weights are too old for new requests, against the
/// interruption of running requests. Takes the current time as a parameter.
class RolloutPace {
 public:
  RolloutPace(GatewayState& state, const RolloutOptions& options)
      : state_(state), options_(options) {}

  /// Records the start of the process; see RolloutOptions::assumed_age_grace.
  void Start(TimePoint now) { started_ = now; }

  /// Returns how many of the outdated `engines` load concurrently. The number grows as the deadline
  /// approaches, since engines that wait for their turn beyond it would serve requests on weights
  /// that are too old.
  std::uint32_t Concurrency(const std::vector<RolloutStep>& engines, TimePoint now) const;

  /// Records that a load took `duration` while `concurrency` loads ran.
  void NoteLoad(std::uint32_t concurrency, Duration duration) {
    load_durations_.Record(concurrency, duration);
  }

  /// Returns how long an engine may drain, so that its order is sent well before the deadline.
  Duration DrainTime(const RolloutStep& step, TimePoint now) const;

  /// Chooses how the load treats the running requests. If all of them are resumable, they are
  /// aborted and resume at other engines, as long as most of them have retry budget. Otherwise they
  /// finish first if that is expected to be short and there is time for the worst case. Otherwise
  /// they continue with the new weights, so that no caller loses a response. They also continue if
  /// the tracker of the engine did not tell what runs there. When retry budgets
  /// were ignored, three rollouts within 9 s aborted 100 of 250 streams that could not be resumed
  /// any more.
  ReloadMode ModeFor(const RolloutStep& step, TimePoint now) const;

  /// Number of requests at the engine that cannot be resumed elsewhere.
  static std::uint32_t Unrepeatable(const RolloutStep& step) {
    return step.engine->unrepeatable + step.engine->peers.unrepeatable;
  }

  /// Number of requests at the engine that could be resumed elsewhere, but whose retry budget is
  /// used up.
  std::uint32_t Uncovered(const RolloutStep& step, TimePoint now) const {
    return state_.Uncovered(*step.engine, now) + step.engine->peers.uncovered;
  }

  static std::uint32_t Running(const RolloutStep& step) {
    return step.engine->in_flight + step.engine->peers.running;
  }

 private:
  /// Whether the requests of other instances at the engine are known.
  bool IsLoadKnown(const Backend& engine, TimePoint now) const;

  /// Longest drain under the current load, regardless of the deadline.
  Duration MaxDrainTime(const RolloutStep& step, TimePoint now) const;

  /// Prefill load of the service's available engines, from 0 to 1. At 1 their queued prompts take
  /// as long as the shortest latency objective allows.
  double PrefillLoad(const ServiceId& service, TimePoint now) const;

  /// When the engine's weights become too old for new requests; nullopt if there is no deadline.
  std::optional<TimePoint> DeadlineOf(const RolloutStep& step, TimePoint now) const;

  GatewayState& state_;
  const RolloutOptions& options_;
  TimePoint started_{};
  LoadDurations load_durations_;
};

}  // namespace ridgehold
