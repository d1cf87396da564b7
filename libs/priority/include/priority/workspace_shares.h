// Estimates the workspaces' shares of the fleet's load and the fair share of each.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/workspace_hash.h"
#include "priority/decayed_sum.h"

namespace ridgehold {

/// One gateway's recent tokens of one workspace and of all workspaces.
struct WorkspaceSample {
  double tokens = 0;
  double total = 0;

  /// Whether the numbers can be those of a gateway.
  bool IsValid() const;
};

/// The load pattern: one workspace sends several times its usual load, and capacity goes to the
/// requests that arrive first. A gateway sees too few requests to know the shares, so each answer
/// to a load query carries the answering gateway's tokens of the query's workspace.
///
/// The fair level is the max-min share, by weight, of the capacity: the fraction of the recent
/// arrivals at this gateway that were admitted within their objectives. Without that fraction the
/// largest workspace would always be at its fair share, because the shares add up to one. Not
/// thread-safe; the caller passes in the time.
class WorkspaceShares {
 public:
  static constexpr std::chrono::seconds kHalfLife{4};
  /// When the table is full, the workspace with the fewest recent tokens is evicted.
  static constexpr std::size_t kMaxWorkspaces = 1'024;

  /// Records the arrival of a request at this gateway; `tokens` are those of its prompt and its
  /// maximum output.
  void RecordArrival(WorkspaceHash workspace, double tokens, TimePoint now);
  /// Records that the request was admitted within its objective.
  void RecordInTime(double tokens, TimePoint now) { own_in_time_.Add(tokens, now); }

  /// The tokens that arrived at this gateway.
  WorkspaceSample OwnSample(WorkspaceHash workspace, TimePoint now) const;

  /// Records a gateway's sample; an invalid or empty one is ignored. `weight` is the workspace's.
  void RecordSample(WorkspaceHash workspace, double weight, const WorkspaceSample& sample,
                    TimePoint now);

  /// Whether the workspace's share exceeds its fair share by more than a quarter; false if the
  /// shares are not known.
  bool IsOverShare(WorkspaceHash workspace, TimePoint now) const;

  /// The workspace's share of the fleet's recent tokens; nothing if it is not known.
  std::optional<double> ShareOf(WorkspaceHash workspace, TimePoint now) const;

  /// The fair share of a workspace with weight 1; nothing if it is not known.
  std::optional<double> fair_level() const { return fair_level_; }

  /// The fraction of recent arrivals that were admitted within their objectives.
  double CapacityFraction(TimePoint now) const;

  std::size_t size() const { return sampled_.size(); }

 private:
  struct Sampled {
    DecayedSum tokens{kHalfLife};
    DecayedSum total{kHalfLife};
    double weight = 1;

    double ShareAt(TimePoint now) const;
  };

  /// Sorts the workspaces, so it is not done for each sample.
  static constexpr std::chrono::milliseconds kLevelInterval{100};
  /// A workspace without samples for this long is dropped: five half-lives leave 3 %.
  static constexpr std::chrono::seconds kForgetAfter{20};

  void UpdateFairLevel(TimePoint now);

  std::unordered_map<WorkspaceHash, DecayedSum> own_;
  DecayedSum own_total_{kHalfLife};
  DecayedSum own_in_time_{kHalfLife};
  std::unordered_map<WorkspaceHash, Sampled> sampled_;
  std::optional<double> fair_level_;
  TimePoint level_updated_at_{};
};

/// A workspace's demand for a share of the capacity.
struct ShareDemand {
  double share = 0;
  double weight = 1;
};

/// The max-min fair share of a workspace with weight 1: the level at which the workspaces below it
/// get what they demand, the others get `level * weight`, and all of `capacity` is used. Nothing if
/// there is no demand. Weights must be positive.
std::optional<double> FairLevel(std::vector<ShareDemand> demands, double capacity);

}  // namespace ridgehold
