#include "priority/workspace_shares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ridgehold {
namespace {

// A share must exceed the fair one by a quarter, because shares are estimated from samples.
constexpr double kOverShareRatio = 1.25;
// With all requests late, the measured capacity would be zero and every workspace over its share.
constexpr double kMinCapacityFraction = 0.5;

/// Makes room for one more workspace.
template <class Table, class TokensOf>
void EvictSmallest(Table& table, const TokensOf& tokens_of) {
  if (table.size() < WorkspaceShares::kMaxWorkspaces) return;
  table.erase(std::ranges::min_element(table, {}, tokens_of));
}

}  // namespace

bool WorkspaceSample::IsValid() const {
  return std::isfinite(tokens) && std::isfinite(total) && tokens >= 0 && total >= tokens;
}

void WorkspaceShares::RecordArrival(WorkspaceHash workspace, double tokens, TimePoint now) {
  own_total_.Add(tokens, now);
  if (workspace == 0) return;
  if (!own_.contains(workspace)) {
    EvictSmallest(own_, [now](const auto& entry) { return entry.second.At(now); });
  }
  own_.try_emplace(workspace, DecayedSum(kHalfLife)).first->second.Add(tokens, now);
}

WorkspaceSample WorkspaceShares::OwnSample(WorkspaceHash workspace, TimePoint now) const {
  const auto found = own_.find(workspace);
  return {found == own_.end() ? 0 : found->second.At(now), own_total_.At(now)};
}

void WorkspaceShares::RecordSample(WorkspaceHash workspace, double weight,
                                   const WorkspaceSample& sample, TimePoint now) {
  if (workspace == 0 || !sample.IsValid() || sample.total <= 0) return;
  if (!sampled_.contains(workspace)) {
    EvictSmallest(sampled_, [now](const auto& entry) { return entry.second.tokens.At(now); });
  }
  Sampled& sampled = sampled_[workspace];
  sampled.tokens.Add(sample.tokens, now);
  sampled.total.Add(sample.total, now);
  sampled.weight = weight;
  if (now - level_updated_at_ >= kLevelInterval) UpdateFairLevel(now);
}

double WorkspaceShares::Sampled::ShareAt(TimePoint now) const {
  const double all = total.At(now);
  return all > 0 ? tokens.At(now) / all : 0;
}

bool WorkspaceShares::IsOverShare(WorkspaceHash workspace, TimePoint now) const {
  const auto share = ShareOf(workspace, now);
  if (!share || !fair_level_) return false;
  return *share > kOverShareRatio * *fair_level_ * sampled_.at(workspace).weight;
}

std::optional<double> WorkspaceShares::ShareOf(WorkspaceHash workspace, TimePoint now) const {
  const auto found = sampled_.find(workspace);
  if (found == sampled_.end() || now - found->second.total.updated_at() >= kForgetAfter) {
    return std::nullopt;
  }
  return found->second.ShareAt(now);
}

double WorkspaceShares::CapacityFraction(TimePoint now) const {
  const double offered = own_total_.At(now);
  return offered > 0 ? std::clamp(own_in_time_.At(now) / offered, kMinCapacityFraction, 1.0) : 1.0;
}

void WorkspaceShares::UpdateFairLevel(TimePoint now) {
  level_updated_at_ = now;
  std::erase_if(sampled_, [now](const auto& entry) {
    return now - entry.second.total.updated_at() >= kForgetAfter;
  });
  std::vector<ShareDemand> demands;
  double all = 0;
  for (const auto& [workspace, sampled] : sampled_) {
    demands.push_back({sampled.ShareAt(now), sampled.weight});
    all += demands.back().share;
  }
  fair_level_ = FairLevel(std::move(demands), CapacityFraction(now) * all);
}

std::optional<double> FairLevel(std::vector<ShareDemand> demands, double capacity) {
  std::ranges::sort(demands, {},
                    [](const ShareDemand& demand) { return demand.share / demand.weight; });
  double weight_left = 0;
  for (const ShareDemand& demand : demands) weight_left += demand.weight;
  std::optional<double> level;
  for (const ShareDemand& demand : demands) {
    level = capacity / weight_left;
    if (demand.share > *level * demand.weight) return level;
    capacity -= demand.share;
    weight_left -= demand.weight;
  }
  // All demands fit, so the largest of them is the level.
  if (level) level = demands.back().share / demands.back().weight;
  return level;
}

}  // namespace ridgehold
