#include "control/rollout_plan.h"

#include <algorithm>
#include <tuple>

namespace ridgehold {

std::vector<RolloutStep> NextSteps(const BackendDirectory& directory,
                                   const NamedWeights& named,
                                   const std::map<BackendId, TimePoint>& loading,
                                   const RolloutLimits& limits) {
  if (loading.size() >= limits.at_once) return {};
  std::vector<RolloutStep> steps;
  for (const auto& [id, engine] : directory.all()) {
    if (engine->entry.draining || engine->missing_until || loading.contains(id)) continue;
    for (const auto& [model, weights] : engine->weights) {
      if (!named.OutdatedSince(model, weights)) continue;
      steps.push_back({engine, model});
      break;
    }
  }
  std::ranges::stable_sort(steps, {}, [](const RolloutStep& step) {
    // Those that do not answer now come last.
    return std::tuple(step.engine->failures, step.engine->weights.at(step.model),
                      step.engine->in_flight);
  });
  steps.resize(std::min<std::size_t>(steps.size(), limits.at_once - loading.size()));
  return steps;
}

}  // namespace ridgehold
