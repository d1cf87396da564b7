#include "control/rollout_step_log.h"

#include <chrono>
#include <string>

#include "log/duration_text.h"
#include "log/log.h"

namespace ridgehold {
void LogRolloutStep(GatewayState& state, const RolloutStep& step, const StepTimes& times) {
  const TimePoint now = Clock::now();
  LogFields fields = {{"backend", step.engine->entry.id.value()},
                      {"outcome", times.outcome},
                      {"ms", MillisecondsText(now - times.start)}};
  if (times.drained) fields.push_back({"drain_ms", MillisecondsText(*times.drained - times.start)});
  if (times.ordered) {
    fields.push_back({"load_ms", MillisecondsText(now - *times.ordered)});
    fields.push_back({"mode", std::string(NameOf(times.mode))});
    fields.push_back({"left_to_end", std::to_string(times.left_to_end)});
  }
  if (const auto since = state.named_weights().NewestAnnouncedAt(step.model)) {
    fields.push_back({"newest_age_ms", MillisecondsText(now - *since)});
  }
  fields.push_back(
      {"running_there", std::to_string(step.engine->in_flight + step.engine->peers.running)});
  Log(LogLevel::kInfo, "rollout step", fields);
  state.metrics()
      .GetSummary("ridgehold_rollout_step_seconds",
                  "outcome=\"" + std::string(times.outcome) + "\"")
      .Observe(std::chrono::duration<double>(now - times.start).count());
}

}  // namespace ridgehold
