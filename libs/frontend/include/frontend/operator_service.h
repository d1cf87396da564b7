// Carries out operators' statements and answers with tables.

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "config/change_status.h"
#include "config/config.h"
#include "frontend/in_flight_table.h"
#include "membership/membership_table.h"
#include "oplang/statement.h"
#include "routing/router.h"

namespace ridgehold {

/// A table for people and programs. All rows have one cell a column.
struct Table {
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
};

/// What the service needs from the rest of the daemon.
struct OperatorServiceParts {
  DaemonId daemon;
  ZoneId zone;
  Router& router;
  InFlightTable& in_flight;
  std::function<std::shared_ptr<const Config>()> config;
  std::function<Revision()> revision;
  std::function<std::vector<ZoneView>()> zones;
  std::function<std::vector<Peer>()> peers;
  std::function<ChangeStatus(const ChangeId&)> change_status;
  std::function<Result<AcceptedChange>(const std::string& script, std::optional<Revision> expected,
                                       const std::string& author)>
      submit;
};

/// Thread-safe. Changes block until the platform has answered or its deadline
/// is over.
class OperatorService {
 public:
  explicit OperatorService(OperatorServiceParts parts) : parts_(std::move(parts)) {}

  /// Runs a script: one query, or changes that take hold together.
  Result<Table> Run(const std::string& script, const std::string& author, bool dry_run) const;

  /// The revision in force on this daemon.
  Revision InForce() const { return parts_.revision(); }

 private:
  Result<Table> RunChange(const std::vector<Statement>& statements, const std::string& author,
                          bool dry_run) const;
  Result<Table> RunQuery(const Statement& statement) const;
  Table ShowRevision() const;
  Table ShowDaemons() const;
  Table ShowBackends() const;
  Table ShowRequests() const;
  Table ShowChange(const std::string& id) const;
  Table ShowEntities(Subject subject) const;
  Result<Table> ExplainRoute(const Statement& statement) const;

  OperatorServiceParts parts_;
};

}  // namespace ridgehold
