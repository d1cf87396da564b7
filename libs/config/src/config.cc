#include "config/config.h"

#include <algorithm>

#include "binding.h"

namespace ridgehold {
namespace {

using detail::Bind;
using detail::Invalid;

boost::leaf::error_id Fault(const Statement& statement, const std::string& fault) {
  return Invalid(statement.line, statement.column,
                 std::string(ToString(statement.subject)) + " " + statement.name + " " + fault);
}

/// Creates an entity under its key; `entity` holds its id already.
template <class Key, class Entity>
Result<void> Insert(const Statement& statement, std::map<Key, Entity>& entities, const Key& key,
                    Entity entity) {
  if (entities.contains(key)) return Fault(statement, "exists already");
  BOOST_LEAF_CHECK(Bind(statement, entity));
  entities.emplace(key, std::move(entity));
  return {};
}

template <class Key, class Entity>
Result<void> Update(const Statement& statement, std::map<Key, Entity>& entities, const Key& key) {
  const auto found = entities.find(key);
  if (found == entities.end()) return Fault(statement, "does not exist");
  Entity changed = found->second;
  BOOST_LEAF_CHECK(Bind(statement, changed));
  found->second = std::move(changed);
  return {};
}

template <class Key, class Entity>
Result<void> Erase(const Statement& statement, std::map<Key, Entity>& entities, const Key& key) {
  if (!statement.attributes.empty()) return Fault(statement, "takes no attributes here");
  if (entities.erase(key) == 0) return Fault(statement, "does not exist");
  return {};
}

template <class Entities>
void AppendCreates(const Entities& entities, std::vector<Statement>& out) {
  for (const auto& [key, entity] : entities) out.push_back(detail::ToCreate(entity));
}

/// Whether `path` lies under `prefix`, counted in whole segments.
bool IsUnder(std::string_view path, std::string_view prefix) {
  if (!path.starts_with(prefix)) return false;
  return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

}  // namespace

Result<void> Config::Apply(const Statement& statement) {
  switch (statement.verb) {
    case Verb::kCreate:
      return Create(statement);
    case Verb::kChange:
      return Change(statement);
    case Verb::kRemove:
      return Remove(statement);
    case Verb::kDrain:
      return SetDraining(statement, true);
    case Verb::kUndrain:
      return SetDraining(statement, false);
    case Verb::kShow:
    case Verb::kExplain:
    case Verb::kSet:
      break;
  }
  return Fault(statement, "is not a change of the configuration");
}

Result<void> Config::RequireModel(const Statement& statement) const {
  const Attribute* engine = statement.Find("engine");
  if (engine == nullptr || models_.contains(ModelId(engine->value))) return {};
  return Fault(statement, "needs an existing model");
}

Result<void> Config::Create(const Statement& statement) {
  const std::string& name = statement.name;
  switch (statement.subject) {
    case Subject::kWorkspace:
      return Insert(statement, workspaces_, WorkspaceId(name), Workspace{.id = WorkspaceId(name)});
    case Subject::kKey: {
      const Attribute* workspace = statement.Find("workspace");
      if (workspace == nullptr || !workspaces_.contains(WorkspaceId(workspace->value))) {
        return Fault(statement, "needs an existing workspace");
      }
      return Insert(statement, keys_, name, KeyGrant{.sha256 = name, .workspace = {}});
    }
    case Subject::kModel:
      return Insert(statement, models_, ModelId(name), Model{.id = ModelId(name), .weights = {}});
    case Subject::kBackend: {
      BOOST_LEAF_CHECK(RequireModel(statement));
      BackendServer backend;
      backend.id = BackendId(name);
      return Insert(statement, backends_, BackendId(name), std::move(backend));
    }
    case Subject::kRule: {
      RoutingRule rule;
      rule.id = RuleId(name);
      return Insert(statement, rules_, RuleId(name), std::move(rule));
    }
    default:
      return Fault(statement, "cannot be created");
  }
}

Result<void> Config::Change(const Statement& statement) {
  const std::string& name = statement.name;
  switch (statement.subject) {
    case Subject::kWorkspace:
      return Update(statement, workspaces_, WorkspaceId(name));
    case Subject::kModel:
      return Update(statement, models_, ModelId(name));
    case Subject::kBackend:
      BOOST_LEAF_CHECK(RequireModel(statement));
      return Update(statement, backends_, BackendId(name));
    case Subject::kRule:
      return Update(statement, rules_, RuleId(name));
    default:
      return Fault(statement, "cannot be changed");
  }
}

Result<void> Config::Remove(const Statement& statement) {
  const std::string& name = statement.name;
  switch (statement.subject) {
    case Subject::kWorkspace: {
      const WorkspaceId id(name);
      const bool in_use = std::ranges::any_of(
          keys_, [&](const auto& entry) { return entry.second.workspace == id; });
      if (in_use) return Fault(statement, "still has keys");
      return Erase(statement, workspaces_, id);
    }
    case Subject::kKey:
      return Erase(statement, keys_, name);
    case Subject::kModel: {
      const ModelId id(name);
      const bool in_use = std::ranges::any_of(
          backends_, [&](const auto& entry) { return entry.second.model == id; });
      if (in_use) return Fault(statement, "still has backend servers");
      return Erase(statement, models_, id);
    }
    case Subject::kBackend:
      return Erase(statement, backends_, BackendId(name));
    case Subject::kRule:
      return Erase(statement, rules_, RuleId(name));
    default:
      return Fault(statement, "cannot be removed");
  }
}

Result<void> Config::SetDraining(const Statement& statement, bool draining) {
  if (statement.subject != Subject::kBackend) return Fault(statement, "cannot be drained");
  if (!statement.attributes.empty()) return Fault(statement, "takes no attributes here");
  const auto found = backends_.find(BackendId(statement.name));
  if (found == backends_.end()) return Fault(statement, "does not exist");
  found->second.draining = draining;
  return {};
}

std::vector<Statement> Config::ToStatements() const {
  std::vector<Statement> statements;
  AppendCreates(workspaces_, statements);
  AppendCreates(keys_, statements);
  AppendCreates(models_, statements);
  AppendCreates(backends_, statements);
  AppendCreates(rules_, statements);
  return statements;
}

const Workspace* Config::FindByKey(const std::string& sha256) const {
  const auto key = keys_.find(sha256);
  if (key == keys_.end()) return nullptr;
  const auto workspace = workspaces_.find(key->second.workspace);
  return workspace == workspaces_.end() ? nullptr : &workspace->second;
}

const RoutingRule* Config::FindByPath(std::string_view path) const {
  const RoutingRule* best = nullptr;
  for (const auto& [id, rule] : rules_) {
    if (rule.path.empty() || !IsUnder(path, rule.path)) continue;
    if (best == nullptr || rule.path.size() > best->path.size()) best = &rule;
  }
  return best;
}

RoutingRule Config::RuleFor(const ModelId& model) const {
  for (const auto& [id, rule] : rules_) {
    if (rule.model == model) return rule;
  }
  RoutingRule fallback;
  fallback.id = RuleId("default");
  fallback.model = model;
  return fallback;
}

std::string FormatScript(const std::vector<Statement>& statements) {
  std::string script;
  for (const Statement& statement : statements) script += Format(statement) + "\n";
  return script;
}

}  // namespace ridgehold
