#include "control/rollout_plan.h"

#include <algorithm>
#include <tuple>

namespace ridgehold {
namespace {

bool IsOutdated(const Backend& engine, const ModelId& model, WeightsNumber weights,
                const WeightsHistory& named) {
  return !engine.entry.draining && !engine.notice_state.leaving() && !engine.grace_until &&
         !engine.superseded && named.SupersededSince(model, weights).has_value();
}

}  // namespace

std::vector<RolloutStep> OutdatedEngines(const BackendDirectory& directory,
                                         const WeightsHistory& named) {
  std::vector<RolloutStep> steps;
  for (const auto& [id, engine] : directory.all()) {
    if (!directory.IsServed(engine->entry.service)) continue;
    for (const auto& [model, weights] : engine->weights) {
      if (!IsOutdated(*engine, model, weights, named)) continue;
      steps.push_back({engine, model});
      break;
    }
  }
  std::ranges::stable_sort(steps, {}, [](const RolloutStep& step) {
    // Engines that fail at present come last.
    return std::tuple(step.engine->failures, step.engine->weights.at(step.model),
                      step.engine->in_flight + step.engine->peers.running);
  });
  return steps;
}

std::uint32_t DefaultLoadConcurrency(const BackendDirectory& directory, const ServiceId& service,
                                     std::uint32_t engines_per_load) {
  const auto engines = std::ranges::count_if(
      directory.all(), [&](const auto& entry) { return entry.second->entry.service == service; });
  const auto rounded_up =
      (static_cast<std::uint32_t>(engines) + engines_per_load - 1) / engines_per_load;
  return std::max(rounded_up, 1U);
}

std::uint32_t RequiredLoadConcurrency(std::uint32_t default_concurrency,
                                      std::vector<Duration> time_left, Duration load) {
  std::ranges::sort(time_left);
  std::uint32_t concurrency = default_concurrency;
  std::uint32_t engines = 0;
  for (const Duration left : time_left) {
    ++engines;
    const auto turns = std::max<std::int64_t>(left / load, 1);
    const auto rounded_up = (engines + turns - 1) / turns;
    concurrency = std::max(concurrency, static_cast<std::uint32_t>(rounded_up));
  }
  return concurrency;
}

}  // namespace ridgehold
