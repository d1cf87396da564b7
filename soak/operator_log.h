// What the operator has ordered, and when the store acknowledged it.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fakes.h"
#include "idle_limits.h"
#include "random.h"
#include "sleep.h"

namespace ridgehold::soak {

/// A workspace's key, with the configurations that had it.
struct KeyRecord {
  std::string workspace;
  int granted = 0;  ///< version of the first configuration with it
  int revoked = 0;  ///< version of the first one without it; 0: none
  TimePoint revoked_at{};
};

/// Writes configurations and named weights to the store.
class OperatorLog {
 public:
  explicit OperatorLog(ridgehold::test::MemoryTable& table);

  /// Gives a workspace a new key, and takes the old one away if told so.
  void ChangeKey(Random& random);
  void NameWeights();
  /// Replaces the routes added before by `count` others, and gives a workspace spare keys.
  void AddRoutes(int count, int spare_keys);
  /// Takes the oldest spare key away; returns whether there was one.
  bool TakeSpareKey();
  void SetIdleLimit(std::chrono::milliseconds limit);
  /// Takes all workspaces away, so that their list is empty, or brings them back with new keys.
  void ToggleWorkspaces();
  /// Isolates some workspaces; those isolated before no longer are, unless they are chosen again.
  void ChangeIsolated(Random& random);
  void SetMaxBody(std::size_t bytes);

  /// When the store acknowledged that the workspace is isolated; nullopt while it is not.
  std::optional<TimePoint> IsolatedSince(const std::string& workspace) const;

  const KeyRecord& key(const std::string& key) const { return keys_.at(key); }
  /// A key to send: mostly a valid one, sometimes one taken away.
  std::string PickKey(Random& random) const;
  const IdleLimits& idle_limits() const { return idle_limits_; }
  int weights() const { return static_cast<int>(named_.size()); }
  /// When weights newer than `number` were first acknowledged.
  TimePoint NewerThan(int number) const { return named_.at(static_cast<std::size_t>(number)); }

 private:
  void WriteConfig();

  ridgehold::test::MemoryTable& table_;
  int version_ = 1;
  std::map<std::string, KeyRecord> keys_;
  std::vector<std::string> order_;  // keys as they were granted
  std::vector<TimePoint> named_;    // acknowledgement of weights 1, 2, ...
  std::vector<std::string> spare_keys_;
  std::map<std::string, TimePoint> isolated_;  // since when
  int added_routes_ = 0;
  std::size_t max_body_ = 100'000;
  std::chrono::milliseconds idle_limit_{5'000};
  IdleLimits idle_limits_;
};

}  // namespace ridgehold::soak
