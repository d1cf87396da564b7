// Plays load patterns against modelled engines in virtual time; writes CSV.

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "model/patterns.h"

namespace ridgehold::model {
namespace {

struct Options {
  std::vector<std::string> patterns;
  std::uint32_t seed = 1;
  std::uint32_t seeds = 1;
  AdmissionRule admission;
  PlacementWeights placement;
};

void PlayOne(const std::string& name, Pattern pattern, const Options& options) {
  GatewayLimits limits;
  limits.admission = options.admission;
  const std::uint32_t seed = pattern.seed;
  FleetModel fleet(std::move(pattern), limits, options.placement);
  for (const auto& [path, outcome] : fleet.Play()) {
    std::cout << fmt::format("{},{},{},{},{},{:.4f},{}\n", name, seed, path, outcome.requests,
                             outcome.begun, outcome.share_in_time(), outcome.shared_read);
  }
}

void AddOptions(CLI::App& app, Options& options) {
  std::vector<std::string> names;
  for (const NamedPattern& pattern : AllPatterns()) names.emplace_back(pattern.name);
  app.add_option("patterns", options.patterns, "Patterns to play; all if none is named")
      ->check(CLI::IsMember(names));
  app.add_option("--seed", options.seed, "The first seed");
  app.add_option("--seeds", options.seeds, "So many seeds from there on")
      ->check(CLI::Range(1, 1'000));
  app.add_option("--admission.enabled", options.admission.enabled, "Requests wait for room");
  app.add_option("--placement.observe-speed", options.placement.observe_speed,
                 "Speed from first events");
  app.add_option("--placement.engines-as-sources", options.placement.engines_as_sources,
                 "Fetch from engines, too");
  app.add_option("--placement.watch-links", options.placement.watch_links,
                 "Fetches wait for those before them");
  app.set_config("--settings", "", "INI file with these options");
}

}  // namespace
}  // namespace ridgehold::model

int main(int argc, char** argv) {
  using ridgehold::model::AllPatterns;
  ridgehold::model::Options options;
  CLI::App app("Plays load patterns against modelled engines in virtual time");
  ridgehold::model::AddOptions(app, options);
  CLI11_PARSE(app, argc, argv);
  std::cout << "pattern,seed,route,requests,begun,in_time,shared_tokens_read\n";
  if (options.patterns.empty()) {
    for (const auto& named : AllPatterns()) options.patterns.emplace_back(named.name);
  }
  for (const std::string& name : options.patterns) {
    for (std::uint32_t i = 0; i < options.seeds; ++i) {
      ridgehold::model::Pattern pattern = *ridgehold::model::FindPattern(name);
      pattern.seed = options.seed + i;
      ridgehold::model::PlayOne(name, std::move(pattern), options);
    }
  }
  return 0;
}
