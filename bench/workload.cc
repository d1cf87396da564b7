#include "workload.h"

#include <cmath>

#include "cache/block_chain.h"

namespace ridgehold::bench {
namespace {

// Share of all requests that the large workspaces have together.
constexpr double kLargeShare = 0.75;
// During the rush so many of ten requests go to two large workspaces.
constexpr double kRushShare = 0.8;
constexpr int kRushWorkspaces = 2;
constexpr double kMoveEverySeconds = 3;
constexpr int kMoveBySites = 7;

}  // namespace

WorkloadShape Amakusa() { return {}; }

WorkloadShape Tasman() {
  WorkloadShape shape;
  // Long manuals, fewer kinds of boxes, longer requests.
  shape.sites_large = 24;
  shape.sites_small = 8;
  shape.rules_tokens = 2'048;
  shape.policy_tokens = 4'096;
  shape.site_tokens = 2'048;
  shape.tail_tokens = 320;
  return shape;
}

std::string FillText(const std::string& name, std::size_t tokens) {
  const std::size_t bytes = tokens * kBytesPerToken;
  std::string text;
  text.reserve(bytes + name.size() + 1);
  while (text.size() < bytes) text += name + " ";
  text.resize(bytes);
  return text;
}

Workload::Workload(const WorkloadShape& shape, Scenario scenario, std::uint64_t seed)
    : shape_(shape), scenario_(scenario), random_(seed) {}

PromptSpec Workload::Next(double second, bool hot) {
  PromptSpec prompt;
  prompt.workspace = PickWorkspace(hot);
  const std::string workspace = "w" + std::to_string(prompt.workspace);
  const std::string site = workspace + "-site" + std::to_string(PickSite(prompt.workspace, second));
  prompt.text = FillText("rules of " + workspace, shape_.rules_tokens) +
                FillText("policies of " + workspace, shape_.policy_tokens) +
                FillText("roster of " + site, shape_.site_tokens) +
                FillText("request " + std::to_string(request_++), shape_.tail_tokens);
  return prompt;
}

int Workload::SitesOf(int workspace) const {
  return workspace < shape_.large_workspaces ? shape_.sites_large : shape_.sites_small;
}

int Workload::PickWorkspace(bool hot) {
  std::uniform_real_distribution<> uniform(0, 1);
  if (hot && uniform(random_) < kRushShare) {
    return std::uniform_int_distribution<>(0, kRushWorkspaces - 1)(random_);
  }
  const bool large = uniform(random_) < kLargeShare;
  const int first = large ? 0 : shape_.large_workspaces;
  const int last = (large ? shape_.large_workspaces : shape_.workspaces) - 1;
  return std::uniform_int_distribution<>(first, last)(random_);
}

int Workload::PickSite(int workspace, double second) {
  const int sites = SitesOf(workspace);
  std::vector<double> weights;
  for (int rank = 1; rank <= sites; ++rank) weights.push_back(std::pow(rank, -shape_.site_skew));
  const int rank = std::discrete_distribution<>(weights.begin(), weights.end())(random_);
  if (scenario_ != Scenario::kMovingHotSet) return rank;
  const int moved = static_cast<int>(second / kMoveEverySeconds) * kMoveBySites;
  return (rank + moved) % sites;
}

}  // namespace ridgehold::bench
