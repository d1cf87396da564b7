// Plays load patterns against modelled engines, or fleets before servers that name a limit
// or ask for rest, in virtual time; writes CSV.

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "model/limit_ways.h"
#include "model/patterns.h"
#include "model/rest_ways.h"

namespace ridgehold::model {
namespace {

struct Options {
  std::vector<std::string> patterns;
  std::uint32_t seed = 1;
  std::uint32_t seeds = 1;
  AdmissionRule admission;
  PlacementCosts placement;
  bool spare_limited = true;
  LimitTolerance tolerance;
  bool limits = false;
  bool rests = false;
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

/// All seeds of one way and trouble, as a line.
void PlayRests(std::size_t instances, RestTrouble trouble, RestWay way, const Options& options) {
  constexpr double kThousand = 1'000;
  RestPlayOutcome sum;
  for (std::uint32_t i = 0; i < options.seeds; ++i) {
    const RestPlayOutcome one = PlayRest({way, trouble, instances, options.seed + i});
    sum.requests += one.requests;
    sum.turned_away += one.turned_away;
    sum.refused += one.refused;
    sum.messages += one.messages;
    sum.begun_mean_ms += one.begun_mean_ms / options.seeds;
    sum.begun_p99_ms += one.begun_p99_ms / options.seeds;
  }
  const double each = kThousand / static_cast<double>(sum.requests);
  std::cout << fmt::format("{},{},{},{},{:.2f},{:.2f},{},{:.2f},{:.1f}\n", instances,
                           NameOf(trouble), NameOf(way), sum.requests,
                           static_cast<double>(sum.turned_away) * each,
                           static_cast<double>(sum.refused) * each, sum.messages / options.seeds,
                           sum.begun_mean_ms, sum.begun_p99_ms);
}

void PlayAllRests(const Options& options) {
  std::cout << "instances,turned_away_are,way,requests,turned_away_per_mille,refused_per_mille,"
               "messages,begun_mean_ms,begun_p99_ms\n";
  for (const std::size_t instances : options.instances) {
    for (const RestTrouble trouble : AllRestTroubles()) {
      for (const RestWay way : AllRestWays()) PlayRests(instances, trouble, way, options);
    }
  }
}

void PlayOne(const std::string& name, Pattern pattern, const Options& options) {
  GatewayLimits limits;
  limits.admission = options.admission;
  limits.backend_limits.used_fraction = options.tolerance.used_fraction;
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
  app.add_option("--placement.observe-speed", options.placement.estimate_prefill_rate,
                 "Speed from first events");
  app.add_option("--placement.engines-as-sources", options.placement.engines_as_sources,
                 "Fetch from engines, too");
  app.add_option("--placement.watch-links", options.placement.watch_links,
                 "Fetches wait for those before them");
  app.add_option("--spare-limited", options.spare_limited,
                 "Small requests leave engines with a limit to large ones");
  app.add_option("--limits.tolerance-part", options.tolerance.used_fraction,
                 "Of what is tolerated above an engine's limit");
  app.add_flag("--limits", options.limits, "Play a server's limit instead of patterns");
  app.add_flag("--rests", options.rests, "Play servers that ask for rest instead of patterns");
  app.add_option("--instances", options.instances, "Sizes of the fleet, of --limits and --rests")
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
  if (options.rests) {
    ridgehold::model::PlayAllRests(options);
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
