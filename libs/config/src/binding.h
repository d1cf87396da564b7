// Reads and writes entities as attributes of statements.

#pragma once

#include <string>
#include <utility>
#include <vector>

#include "base/result.h"
#include "config/entities.h"
#include "oplang/statement.h"

namespace ridgehold::detail {

/// A failure at a place in the script.
inline boost::leaf::error_id Invalid(int line, int column, const std::string& fault) {
  return Fail(ResultCode::kInvalidCommand,
              "line " + std::to_string(line) + ", column " + std::to_string(column) + ": " + fault);
}

/// Sets the fields that the statement's attributes name; the others stay.
Result<void> Bind(const Statement& statement, Workspace& workspace);
Result<void> Bind(const Statement& statement, KeyGrant& key);
Result<void> Bind(const Statement& statement, Model& model);
Result<void> Bind(const Statement& statement, BackendServer& backend);
Result<void> Bind(const Statement& statement, RoutingRule& rule);

/// Returns the statement that creates the entity.
Statement ToCreate(const Workspace& workspace);
Statement ToCreate(const KeyGrant& key);
Statement ToCreate(const Model& model);
Statement ToCreate(const BackendServer& backend);
Statement ToCreate(const RoutingRule& rule);

}  // namespace ridgehold::detail
