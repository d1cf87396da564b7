#include "control/rollout_plan.h"

#include <algorithm>
#include <tuple>

namespace ridgehold {
namespace {

bool IsOutdated(const Backend& engine, const ModelId& model, WeightsNumber weights,
                const NamedWeights& named) {
  return !engine.entry.draining && !engine.missing_until &&
         named.OutdatedSince(model, weights).has_value();
}

std::vector<RolloutStep> OutdatedEngines(const BackendDirectory& directory,
                                         const NamedWeights& named) {
  std::vector<RolloutStep> steps;
  for (const auto& [id, engine] : directory.all()) {
    for (const auto& [model, weights] : engine->weights) {
      if (!IsOutdated(*engine, model, weights, named)) continue;
      steps.push_back({engine, model});
      break;
    }
  }
  return steps;
}

}  // namespace

std::uint32_t LoadsAtOnce(const BackendDirectory& directory, const ServiceId& service,
                          std::uint32_t engines_for_each_load) {
  const auto engines = std::ranges::count_if(
      directory.all(), [&](const auto& entry) { return entry.second->entry.service == service; });
  const auto rounded_up =
      (static_cast<std::uint32_t>(engines) + engines_for_each_load - 1) / engines_for_each_load;
  return std::max(rounded_up, 1U);
}

std::size_t CountOutdated(const BackendDirectory& directory, const NamedWeights& named) {
  return OutdatedEngines(directory, named).size();
}

std::vector<RolloutStep> NextSteps(const BackendDirectory& directory, const NamedWeights& named,
                                   const std::set<BackendId>& begun, std::size_t ending,
                                   std::uint32_t engines_for_each_load) {
  std::vector<RolloutStep> steps = OutdatedEngines(directory, named);
  std::erase_if(steps,
                [&](const RolloutStep& step) { return begun.contains(step.engine->entry.id); });
  if (steps.empty()) return steps;
  std::ranges::stable_sort(steps, {}, [](const RolloutStep& step) {
    // Those that do not answer now come last.
    return std::tuple(step.engine->failures, step.engine->weights.at(step.model),
                      step.engine->in_flight + step.engine->peers.running);
  });
  const std::size_t most =
      ending + LoadsAtOnce(directory, steps.front().engine->entry.service, engines_for_each_load);
  steps.resize(std::min(steps.size(), most - std::min(most, begun.size())));
  return steps;
}

}  // namespace ridgehold
