// Load patterns by name, for tests and experiments.

#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "model/fleet_model.h"

namespace ridgehold::model {

/// Long prompts with shared parts beside short ones. Tokens, rates and objectives
/// are as the roof surveys' operators state them; the engines' memory and links as
/// their configuration has them, their speed as seen beside what else runs there.
Pattern RoofSurveys();

/// Four of nine engines serve for five seconds, and every subject is to be read
/// anew: a rollout of weights with a quarter of the engines silent.
Pattern RolloutUnderLoad();

/// Three engines serve for four seconds, then all again.
Pattern EnginesLost();

/// Memory for half of the subjects, so that as many prompts miss as the link of
/// one store carries.
Pattern StoreLinkFull();

/// Engines that read less than half as fast as the settings say.
Pattern SlowEngines();

/// Eight of nine engines name limits of 1.4 requests a second, a third of what they got
/// before; the engines and the load are the shift planner's.
Pattern MostEnginesLimited();

/// A pattern and its name, in ordinary small letters with dashes.
struct NamedPattern {
  std::string_view name;
  Pattern (*make)();
};

const std::vector<NamedPattern>& AllPatterns();

/// Nothing when there is none of this name.
std::optional<Pattern> FindPattern(std::string_view name);

}  // namespace ridgehold::model
