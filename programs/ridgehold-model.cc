// Plays load patterns against modelled engines, or fleets before a server that names a
// limit, in virtual time; writes CSV.

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "model/limit_ways.h"
#include "model/patterns.h"

namespace ridgehold::model {
namespace {

struct Options {
  std::vector<std::string> patterns;
  std::uint32_t seed = 1;
  std::uint32_t seeds = 1;
  AdmissionRule admission;
  PlacementWeights placement;
  bool spare_limited = true;
  LimitTolerance tolerance;
  bool limits = false;
  std::vector<std::size_t> instances = {8, 90, 295};
  double limit = 1.2;
};

/// All seeds of one trouble, as a line.
void PlayLimits(std::size_t instances, LimitTrouble trouble, const Options& options) {
  LimitPlayOutcome sum;
  std::uint32_t over = 0;
  for (std::uint32_t i = 0; i < options.seeds; ++i) {
    const LimitPlayOutcome one = PlayLimit({trouble, instances, options.limit, options.seed + i});
    sum.worst_window = std::max(sum.worst_window, one.worst_window);
    sum.used += one.used / options.seeds;
    sum.all_know_ms = std::max(sum.all_know_ms, one.all_know_ms);
    sum.untold += one.untold;
    sum.messages += one.messages;
    sum.asking_median_ms += one.asking_median_ms / options.seeds;
    sum.asking_p99_ms = std::max(sum.asking_p99_ms, one.asking_p99_ms);
    if (one.worst_window > 1) ++over;
  }
  std::cout << fmt::format("{},{},{},{:.3f},{},{:.3f},{:.0f},{},{},{:.2f},{:.1f}\n", instances,
                           NameOf(trouble), options.limit, sum.worst_window, over, sum.used,
                           sum.all_know_ms, sum.untold, sum.messages / options.seeds,
                           sum.asking_median_ms, sum.asking_p99_ms);
}

void PlayAllLimits(const Options& options) {
  std::cout << "instances,trouble,limit,worst_window,seeds_over,used,all_know_ms,untold,"
               "messages,asking_median_ms,asking_p99_ms\n";
  for (const std::size_t instances : options.instances) {
    for (const LimitTrouble trouble : AllLimitTroubles()) PlayLimits(instances, trouble, options);
  }
}

void PlayOne(const std::string& name, Pattern pattern, const Options& options) {
  GatewayLimits limits;
  limits.admission = options.admission;
  limits.backend_limits.used_part = options.tolerance.used_part;
  pattern.spare_limited = options.spare_limited;
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
  app.add_option("--spare-limited", options.spare_limited,
                 "Small requests leave engines with a limit to large ones");
  app.add_option("--limits.tolerance-part", options.tolerance.used_part,
                 "Of what is tolerated above an engine's limit");
  app.add_flag("--limits", options.limits, "Play a server's limit instead of patterns");
  app.add_option("--instances", options.instances, "Sizes of the fleet, of --limits")
      ->capture_default_str();
  app.add_option("--limit", options.limit, "Requests a second, of --limits")->capture_default_str();
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
  if (options.limits) {
    ridgehold::model::PlayAllLimits(options);
    return 0;
  }
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
