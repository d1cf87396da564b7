// Simulates load patterns on modelled engines, or fleets whose backend servers announce a rate
// limit or a cool-down, in virtual time. Writes CSV.

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
  AdmissionOptions admission;
  PlacementCosts placement;
  bool spare_limited = true;
  LimitTolerance tolerance;
  bool simulate_limits = false;
  bool simulate_cool_downs = false;
  std::vector<std::size_t> instances = {8, 90, 295};
  double limit = 1.2;
};

/// Simulates one fault with all seeds and prints the result as one line.
void SimulateLimit(std::size_t instances, LimitTrouble fault, const Options& options) {
  LimitPlayOutcome total;
  std::uint32_t seeds_over = 0;
  for (std::uint32_t i = 0; i < options.seeds; ++i) {
    const LimitPlayOutcome outcome = PlayLimit({fault, instances, options.limit, options.seed + i});
    total.worst_window = std::max(total.worst_window, outcome.worst_window);
    total.used += outcome.used / options.seeds;
    total.all_know_ms = std::max(total.all_know_ms, outcome.all_know_ms);
    total.untold += outcome.untold;
    total.messages += outcome.messages;
    total.asking_median_ms += outcome.asking_median_ms / options.seeds;
    total.asking_p99_ms = std::max(total.asking_p99_ms, outcome.asking_p99_ms);
    if (outcome.worst_window > 1) ++seeds_over;
  }
  std::cout << fmt::format("{},{},{},{:.3f},{},{:.3f},{:.0f},{},{},{:.2f},{:.1f}\n", instances,
                           NameOf(fault), options.limit, total.worst_window, seeds_over, total.used,
                           total.all_know_ms, total.untold, total.messages / options.seeds,
                           total.asking_median_ms, total.asking_p99_ms);
}

void SimulateAllLimits(const Options& options) {
  std::cout << "instances,trouble,limit,worst_window,seeds_over,used,all_know_ms,untold,"
               "messages,asking_median_ms,asking_p99_ms\n";
  for (const std::size_t instances : options.instances) {
    for (const LimitTrouble fault : AllLimitTroubles()) SimulateLimit(instances, fault, options);
  }
}

/// Simulates cool-downs announced to the instances in `scope`, with all seeds, and prints the
/// result as one line. `mode` selects how the other instances react.
void SimulateCoolDown(std::size_t instances, RestTrouble scope, RestWay mode,
                      const Options& options) {
  constexpr double kThousand = 1'000;
  RestPlayOutcome total;
  for (std::uint32_t i = 0; i < options.seeds; ++i) {
    const RestPlayOutcome outcome = PlayRest({mode, scope, instances, options.seed + i});
    total.requests += outcome.requests;
    total.turned_away += outcome.turned_away;
    total.refused += outcome.refused;
    total.messages += outcome.messages;
    total.begun_mean_ms += outcome.begun_mean_ms / options.seeds;
    total.begun_p99_ms += outcome.begun_p99_ms / options.seeds;
  }
  const double per_mille = kThousand / static_cast<double>(total.requests);
  std::cout << fmt::format("{},{},{},{},{:.2f},{:.2f},{},{:.2f},{:.1f}\n", instances, NameOf(scope),
                           NameOf(mode), total.requests,
                           static_cast<double>(total.turned_away) * per_mille,
                           static_cast<double>(total.refused) * per_mille,
                           total.messages / options.seeds, total.begun_mean_ms, total.begun_p99_ms);
}

void SimulateAllCoolDowns(const Options& options) {
  std::cout << "instances,turned_away_are,way,requests,turned_away_per_mille,refused_per_mille,"
               "messages,begun_mean_ms,begun_p99_ms\n";
  for (const std::size_t instances : options.instances) {
    for (const RestTrouble scope : AllRestTroubles()) {
      for (const RestWay mode : AllRestWays()) SimulateCoolDown(instances, scope, mode, options);
    }
  }
}

void SimulatePattern(const std::string& name, Pattern pattern, const Options& options) {
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
  app.add_option("patterns", options.patterns, "Patterns to simulate; all if none is given")
      ->check(CLI::IsMember(names));
  app.add_option("--seed", options.seed, "First seed");
  app.add_option("--seeds", options.seeds, "Number of consecutive seeds")
      ->check(CLI::Range(1, 1'000));
  app.add_option("--admission.enabled", options.admission.enabled,
                 "Queue requests until an engine has capacity");
  app.add_option("--placement.observe-speed", options.placement.estimate_prefill_rate,
                 "Estimate the prefill rate from the times of first events");
  app.add_option("--placement.engines-as-sources", options.placement.engines_as_sources,
                 "Fetch cached parts from engines even if there is a KV cache store");
  app.add_option("--placement.watch-links", options.placement.watch_links,
                 "Let fetches wait for earlier ones on the same link");
  app.add_option("--spare-limited", options.spare_limited,
                 "Let small requests avoid rate-limited engines, which then serve large ones");
  app.add_option("--limits.tolerance-part", options.tolerance.used_fraction,
                 "Fraction of the tolerance above an engine's limit that is used");
  app.add_flag("--limits", options.simulate_limits,
               "Simulate a backend server's rate limit instead of patterns");
  app.add_flag("--rests", options.simulate_cool_downs,
               "Simulate backend servers that announce a cool-down instead of patterns");
  app.add_option("--instances", options.instances, "Fleet sizes for --limits and --rests")
      ->capture_default_str();
  app.add_option("--limit", options.limit, "Requests per second, for --limits")
      ->capture_default_str();
  app.set_config("--settings", "", "INI file with these options");
}

}  // namespace
}  // namespace ridgehold::model

int main(int argc, char** argv) {
  using ridgehold::model::AllPatterns;
  ridgehold::model::Options options;
  CLI::App app("Simulates load patterns on modelled engines in virtual time");
  ridgehold::model::AddOptions(app, options);
  CLI11_PARSE(app, argc, argv);
  if (options.simulate_limits) {
    ridgehold::model::SimulateAllLimits(options);
    return 0;
  }
  if (options.simulate_cool_downs) {
    ridgehold::model::SimulateAllCoolDowns(options);
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
      ridgehold::model::SimulatePattern(name, std::move(pattern), options);
    }
  }
  return 0;
}
