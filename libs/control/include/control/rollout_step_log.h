// Log line and metrics of one engine's step in a rollout.

#pragma once

#include <cstdint>
#include <optional>

#include "control/backend_control.h"
#include "control/rollout_plan.h"
#include "gateway/gateway_state.h"

namespace ridgehold {

/// Timestamps and result of one engine's step.
struct StepTimes {
  TimePoint start{};
  std::optional<TimePoint> drained;
  std::optional<TimePoint> ordered;
  ReloadMode mode = ReloadMode::kFinishRequests;
  /// Requests that could not be resumed elsewhere when the order was sent.
  std::uint32_t left_to_end = 0;
  const char* outcome = "given_up";
};

/// Logs the step and records its duration. The fields show where the time went: draining, waiting
/// for a turn to load, or the load itself.
void LogRolloutStep(GatewayState& state, const RolloutStep& step, const StepTimes& times);

}  // namespace ridgehold
