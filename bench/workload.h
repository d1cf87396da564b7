// Seeded prompts whose prefixes nest in levels, as both deployments send them.

#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace ridgehold::bench {

/// Shape of a deployment's prompts. Sizes are tokens.
struct WorkloadShape {
  int workspaces = 8;
  int large_workspaces = 3;
  int sites_large = 60;
  int sites_small = 12;
  std::size_t rules_tokens = 1'024;   ///< planning rules; repair manual of the line
  std::size_t policy_tokens = 2'048;  ///< tenant's policies; manual of the box type
  std::size_t site_tokens = 1'024;    ///< site's roster; damage class
  std::size_t tail_tokens = 160;      ///< the request's own text
  double site_skew = 1.0;             ///< Zipf exponent of the sites' popularity
};

WorkloadShape Amakusa();
WorkloadShape Tasman();

/// How the load changes while it runs.
enum class Scenario { kSteady, kFridayNight, kMovingHotSet };

/// One prompt.
struct PromptSpec {
  int workspace = 0;
  std::string text;
};

/// Makes the sequence of prompts. Equal seeds give equal sequences.
class Workload {
 public:
  Workload(const WorkloadShape& shape, Scenario scenario, std::uint64_t seed);

  /// The prompt of a request sent `second` seconds after the start; `hot` says
  /// that the Friday-night rush is on.
  PromptSpec Next(double second, bool hot);

 private:
  int SitesOf(int workspace) const;
  int PickWorkspace(bool hot);
  int PickSite(int workspace, double second);

  WorkloadShape shape_;
  Scenario scenario_;
  std::mt19937_64 random_;
  std::uint64_t request_ = 0;
};

/// Text of so many tokens that only this name gives.
std::string FillText(const std::string& name, std::size_t tokens);

}  // namespace ridgehold::bench
