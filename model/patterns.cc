#include "model/patterns.h"

#include <algorithm>

namespace ridgehold::model {
namespace {

using namespace std::chrono_literals;

Demand LongPrompts(double per_second) { return {"/long/", per_second, 600ms, 1, 6'300, 2'890, 84}; }

Demand ShortPrompts(double per_second) { return {"/short/", per_second, 400ms, 0, 198, 628, 157}; }

}  // namespace

Pattern RoofSurveys() {
  Pattern pattern;
  pattern.figures = {37, 104'000, 0.0073};
  pattern.demands = {LongPrompts(25), ShortPrompts(31)};
  return pattern;
}

Pattern RolloutUnderLoad() {
  Pattern pattern = RoofSurveys();
  pattern.length = 12s;
  pattern.engines_left = 4;
  pattern.lost_from = 3s;
  pattern.lost_until = 8s;
  pattern.new_weights = true;
  return pattern;
}

Pattern EnginesLost() {
  Pattern pattern = RoofSurveys();
  pattern.length = 12s;
  pattern.engines_left = 3;
  pattern.lost_from = 2s;
  pattern.lost_until = 6s;
  pattern.new_weights = true;
  return pattern;
}

Pattern StoreLinkFull() {
  Pattern pattern = RoofSurveys();
  pattern.figures.cache_tokens = 60'000;
  pattern.figures.link_ms_per_token = 0.0146;
  pattern.demands = {LongPrompts(40), ShortPrompts(31)};
  return pattern;
}

Pattern SlowEngines() {
  Pattern pattern = RoofSurveys();
  pattern.figures.tokens_per_ms = 16;
  return pattern;
}

const std::vector<NamedPattern>& AllPatterns() {
  static const std::vector<NamedPattern> kAll = {{"roof-surveys", RoofSurveys},
                                                 {"rollout-under-load", RolloutUnderLoad},
                                                 {"engines-lost", EnginesLost},
                                                 {"store-link-full", StoreLinkFull},
                                                 {"slow-engines", SlowEngines}};
  return kAll;
}

std::optional<Pattern> FindPattern(std::string_view name) {
  const auto& all = AllPatterns();
  const auto found = std::ranges::find(all, name, &NamedPattern::name);
  if (found == all.end()) return std::nullopt;
  return found->make();
}

}  // namespace ridgehold::model
