// The line and metrics of one engine's step in a rollout.

#pragma once

#include <cstdint>
#include <optional>

#include "control/backend_control.h"
#include "control/rollout_plan.h"
#include "gateway/gateway_state.h"

namespace ridgehold {

/// What one engine's step took, for its line in the log.
struct StepTimes {
  TimePoint begun{};
  std::optional<TimePoint> emptied;
  std::optional<TimePoint> ordered;
  ReloadMode mode = ReloadMode::kFinishRequests;
  std::uint32_t left_to_end = 0;  ///< runs there that could not be resumed, when it was ordered
  const char* outcome = "given_up";
};

/// Writes the step's line. Its times tell what held the engine up: runs that
/// had to end before the order, a turn to load, or the load itself.
void LogRolloutStep(GatewayState& state, const RolloutStep& step, const StepTimes& times);

}  // namespace ridgehold
