#include "control/rollout_plan.h"

#include <algorithm>
#include <tuple>

namespace ridgehold {
namespace {

constexpr std::uint32_t kEnginesForEachLoad = 5;

bool IsOutdated(const Backend& engine, const ModelId& model, WeightsNumber weights,
                const NamedWeights& named) {
  return !engine.entry.draining && !engine.missing_until &&
         named.OutdatedSince(model, weights).has_value();
}

}  // namespace

std::uint32_t LoadsAtOnce(const BackendDirectory& directory, const ServiceId& service) {
  const auto engines = std::ranges::count_if(directory.all(), [&](const auto& entry) {
    return entry.second->entry.service == service;
  });
  const auto rounded_up =
      (static_cast<std::uint32_t>(engines) + kEnginesForEachLoad - 1) / kEnginesForEachLoad;
  return std::max(rounded_up, 1U);
}

std::vector<RolloutStep> NextSteps(const BackendDirectory& directory, const NamedWeights& named,
                                   const std::set<BackendId>& begun) {
  std::vector<RolloutStep> steps;
  for (const auto& [id, engine] : directory.all()) {
    if (begun.contains(id)) continue;
    for (const auto& [model, weights] : engine->weights) {
      if (!IsOutdated(*engine, model, weights, named)) continue;
      steps.push_back({engine, model});
      break;
    }
  }
  if (steps.empty()) return steps;
  std::ranges::stable_sort(steps, {}, [](const RolloutStep& step) {
    // Those that do not answer now come last.
    return std::tuple(step.engine->failures, step.engine->weights.at(step.model),
                      step.engine->in_flight + step.engine->peers.running);
  });
  const std::size_t most =
      2 * LoadsAtOnce(directory, steps.front().engine->entry.service);
  steps.resize(std::min(steps.size(), most - std::min(most, begun.size())));
  return steps;
}

}  // namespace ridgehold
