// The whole configuration as a value, changed by statements of the operator language.

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "config/entities.h"
#include "oplang/statement.h"

namespace ridgehold {

/// A consistent configuration. Copies are independent.
class Config {
 public:
  /// Applies one changing statement. On failure the configuration is as before
  /// and the failure names line and column.
  Result<void> Apply(const Statement& statement);

  /// Returns the statements that make this configuration out of an empty one.
  std::vector<Statement> ToStatements() const;

  /// Returns the workspace of a caller's key, or null.
  const Workspace* FindByKey(const std::string& sha256) const;

  /// Returns the rule with the longest path prefix of `path`, or null.
  const RoutingRule* FindByPath(std::string_view path) const;

  /// Returns the rule for a model; a default rule if operators made none.
  RoutingRule RuleFor(const ModelId& model) const;

  const std::map<WorkspaceId, Workspace>& workspaces() const { return workspaces_; }
  const std::map<std::string, KeyGrant>& keys() const { return keys_; }
  const std::map<ModelId, Model>& models() const { return models_; }
  const std::map<BackendId, BackendServer>& backends() const { return backends_; }
  const std::map<RuleId, RoutingRule>& rules() const { return rules_; }

  bool operator==(const Config&) const = default;

 private:
  Result<void> RequireModel(const Statement& statement) const;
  Result<void> Create(const Statement& statement);
  Result<void> Change(const Statement& statement);
  Result<void> Remove(const Statement& statement);
  Result<void> SetDraining(const Statement& statement, bool draining);

  std::map<WorkspaceId, Workspace> workspaces_;
  std::map<std::string, KeyGrant> keys_;
  std::map<ModelId, Model> models_;
  std::map<BackendId, BackendServer> backends_;
  std::map<RuleId, RoutingRule> rules_;
};

/// Writes statements one a line.
std::string FormatScript(const std::vector<Statement>& statements);

/// Returns `prefix-cost`, `prefix-hash`, `least-loaded` or `round-robin`.
std::string_view ToString(PolicyKind kind);

}  // namespace ridgehold
