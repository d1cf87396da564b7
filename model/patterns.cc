#include "model/patterns.h"

#include <algorithm>

namespace ridgehold::model {
namespace {

using namespace std::chrono_literals;

Demand LongPrompts(double per_second) { return {"/long/", per_second, 600ms, 1, 6'300, 2'890, 84}; }

Demand ShortPrompts(double per_second) { return {"/short/", per_second, 400ms, 0, 198, 628, 157}; }

/// So many engines are left within the span, and all caches are lost with the others.
Pattern WithEnginesLost(std::size_t left, std::chrono::milliseconds from,
                        std::chrono::milliseconds until) {
  Pattern pattern = RoofSurveys();
  pattern.length = 12s;
  pattern.engines_left = left;
  pattern.lost_from = from;
  pattern.lost_until = until;
  pattern.new_weights = true;
  return pattern;
}

}  // namespace

Pattern RoofSurveys() {
  Pattern pattern;
  pattern.figures = {37, 104'000, 0.0073};
  pattern.demands = {LongPrompts(25), ShortPrompts(31)};
  return pattern;
}

Pattern RolloutUnderLoad() { return WithEnginesLost(4, 3s, 8s); }

Pattern EnginesLost() { return WithEnginesLost(3, 2s, 6s); }

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

Pattern MostEnginesLimited() {
  Pattern pattern;
  pattern.figures = {56.9, 99'487, 0.0004};
  pattern.demands = {LongPrompts(18), ShortPrompts(23)};
  pattern.engines_limited = 8;
  pattern.limit = 1.4;
  return pattern;
}

const std::vector<NamedPattern>& AllPatterns() {
  static const std::vector<NamedPattern> kAll = {
      {"roof-surveys", RoofSurveys}, {"rollout-under-load", RolloutUnderLoad},
      {"engines-lost", EnginesLost}, {"store-link-full", StoreLinkFull},
      {"slow-engines", SlowEngines}, {"most-engines-limited", MostEnginesLimited}};
  return kAll;
}

std::optional<Pattern> FindPattern(std::string_view name) {
  const auto& all = AllPatterns();
  const auto found = std::ranges::find(all, name, &NamedPattern::name);
  if (found == all.end()) return std::nullopt;
  return found->make();
}

}  // namespace ridgehold::model
