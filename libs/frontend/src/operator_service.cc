#include "frontend/operator_service.h"

#include <algorithm>
#include <utility>

#include "cache/block_chain.h"
#include "log/log.h"
#include "oplang/parser.h"

namespace ridgehold {
namespace {

std::string YesNo(bool value) { return value ? "yes" : "no"; }

std::string Ms(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) +
         "ms";
}

std::string Number(double value) { return std::to_string(static_cast<std::int64_t>(value)); }

std::string Join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) text += (text.empty() ? "" : " ") + word;
  return text;
}

/// The revision all statements expect, where any says one.
Result<std::optional<Revision>> ExpectedRevision(const std::vector<Statement>& statements) {
  std::optional<Revision> expected;
  for (const Statement& statement : statements) {
    if (!statement.expected_revision) continue;
    const Revision said(*statement.expected_revision);
    if (expected && *expected != said) {
      return Fail(ResultCode::kInvalidCommand, "statements expect different revisions");
    }
    expected = said;
  }
  return expected;
}

/// The script as it is stored: canonical, without the expectations.
std::string CanonicalScript(std::vector<Statement> statements) {
  for (Statement& statement : statements) statement.expected_revision.reset();
  return FormatScript(statements);
}

Result<std::string> Required(const Statement& statement, const char* name) {
  const Attribute* attribute = statement.Find(name);
  if (attribute != nullptr) return attribute->value;
  return Fail(ResultCode::kInvalidCommand, std::string("explain route needs ") + name);
}

}  // namespace

Result<Table> OperatorService::Run(const std::string& script, const std::string& author,
                                   bool dry_run) const {
  BOOST_LEAF_AUTO(statements, ParseScript(script));
  if (statements.empty()) return Fail(ResultCode::kSyntax, "there is no statement");
  const bool changes = std::ranges::all_of(
      statements, [](const Statement& statement) { return IsChange(statement.verb); });
  if (changes) return RunChange(statements, author, dry_run);
  if (statements.size() > 1) {
    return Fail(ResultCode::kInvalidCommand, "a query stands alone, not among other statements");
  }
  return RunQuery(statements.front());
}

Result<Table> OperatorService::RunChange(const std::vector<Statement>& statements,
                                         const std::string& author, bool dry_run) const {
  BOOST_LEAF_AUTO(expected, ExpectedRevision(statements));
  if (dry_run) {
    Config copy = *parts_.config();
    for (const Statement& statement : statements) BOOST_LEAF_CHECK(copy.Apply(statement));
    return Table{{"result", "statements"},
                 {{"would be accepted", std::to_string(statements.size())}}};
  }
  BOOST_LEAF_AUTO(accepted, parts_.submit(CanonicalScript(statements), expected, author));
  return Table{{"result", "revision", "change"},
               {{"accepted", std::to_string(accepted.revision.value()), accepted.id.value()}}};
}

Result<Table> OperatorService::RunQuery(const Statement& statement) const {
  if (statement.verb == Verb::kExplain && statement.subject == Subject::kRoute) {
    return ExplainRoute(statement);
  }
  if (statement.verb == Verb::kSet && statement.subject == Subject::kLogLevel) {
    BOOST_LEAF_CHECK(SetLogLevel(statement.name));
    return Table{{"log-level"}, {{statement.name}}};
  }
  if (statement.verb != Verb::kShow) {
    return Fail(ResultCode::kInvalidCommand, "this verb does not go with this subject");
  }
  switch (statement.subject) {
    case Subject::kRevision:
      return ShowRevision();
    case Subject::kDaemons:
      return ShowDaemons();
    case Subject::kBackends:
      return ShowBackends();
    case Subject::kRequests:
      return ShowRequests();
    case Subject::kChangeStatus:
      return ShowChange(statement.name);
    case Subject::kWorkspaces:
    case Subject::kKeys:
    case Subject::kModels:
    case Subject::kRules:
      return ShowEntities(statement.subject);
    default:
      return Fail(ResultCode::kInvalidCommand,
                  "show " + std::string(ToString(statement.subject)) + " is not a query");
  }
}

Table OperatorService::ShowRevision() const {
  Table table{{"zone", "daemons", "lowest", "highest", "behind", "age"}, {}};
  for (const ZoneView& zone : parts_.zones()) {
    table.rows.push_back({zone.zone.value(), std::to_string(zone.daemons),
                          std::to_string(zone.lowest.value()), std::to_string(zone.highest.value()),
                          Join(zone.behind), Ms(zone.age)});
  }
  return table;
}

Table OperatorService::ShowDaemons() const {
  Table table{{"daemon", "zone", "revision", "relay", "leaving", "address"}, {}};
  table.rows.push_back({parts_.daemon.value(), parts_.zone.value(),
                        std::to_string(parts_.revision().value()), "", "", "(this one)"});
  for (const Peer& peer : parts_.peers()) {
    table.rows.push_back({peer.id.value(), peer.zone.value(), std::to_string(peer.revision.value()),
                          YesNo(peer.relay), YesNo(peer.leaving), peer.address});
  }
  return table;
}

Table OperatorService::ShowBackends() const {
  Table table{{"backend", "zone", "for", "url", "draining", "leaving", "weights", "incarnation",
               "running", "own tokens", "others' tokens", "failures"},
              {}};
  for (const BackendState& row : parts_.router.Rows()) {
    if (!row.present) continue;
    const BackendServer& server = row.server;
    table.rows.push_back({server.id.value(), server.zone.value(),
                          server.is_engine() ? "engine " + server.model.value()
                                             : "service " + server.service.value(),
                          server.url, YesNo(server.draining), YesNo(row.leaving),
                          row.weights.value(), row.incarnation.value(),
                          std::to_string(row.own_running), Number(row.own_tokens),
                          Number(row.others_tokens), std::to_string(row.failures)});
  }
  return table;
}

Table OperatorService::ShowRequests() const {
  Table table{{"request", "workspace", "target", "age"}, {}};
  const TimePoint now = Clock::now();
  for (const InFlightRequest& request : parts_.in_flight.List()) {
    table.rows.push_back({request.id.value(), request.workspace.value(), request.target,
                          Ms(std::chrono::duration_cast<Duration>(now - request.since))});
  }
  return table;
}

Table OperatorService::ShowChange(const std::string& id) const {
  const ChangeStatus status = parts_.change_status(ChangeId(id));
  const bool in_force = status.state == ChangeState::kInForce;
  return {{"change", "state", "revision"},
          {{id, ToString(status.state),
            in_force ? std::to_string(status.revision.value()) : std::string()}}};
}

Table OperatorService::ShowEntities(Subject subject) const {
  Table table{{"statement"}, {}};
  const auto config = parts_.config();
  const Subject singular = subject == Subject::kWorkspaces ? Subject::kWorkspace
                           : subject == Subject::kKeys     ? Subject::kKey
                           : subject == Subject::kModels   ? Subject::kModel
                                                           : Subject::kRule;
  for (const Statement& statement : config->ToStatements()) {
    if (statement.subject == singular) table.rows.push_back({Format(statement)});
  }
  return table;
}

Result<Table> OperatorService::ExplainRoute(const Statement& statement) const {
  BOOST_LEAF_AUTO(workspace, Required(statement, "workspace"));
  BOOST_LEAF_AUTO(model_name, Required(statement, "model"));
  BOOST_LEAF_AUTO(prompt, Required(statement, "prompt"));
  const auto config = parts_.config();
  const auto model = config->models().find(ModelId(model_name));
  if (model == config->models().end()) {
    return Fail(ResultCode::kUnknownModel, "no model " + model_name);
  }
  const std::string salt = CacheSalt({WorkspaceId(workspace), model->first, model->second.weights});
  const std::vector<BlockHash> chain = HashBlocks(prompt, salt);
  ModelQuery query;
  query.selection = {model->first, {}, model->second.weights, {}};
  query.policy = config->RuleFor(model->first).policy;
  query.chain = chain;
  query.prompt_tokens = CountTokens(prompt);
  Table table{{"backend", "chosen", "cached blocks", "wait", "prefill", "distance"}, {}};
  for (const ExplainedCandidate& line : parts_.router.Explain(query, Clock::now())) {
    table.rows.push_back({line.backend.value(), YesNo(line.chosen),
                          std::to_string(line.cached_blocks), Ms(line.expectation.wait),
                          Ms(line.expectation.prefill), Ms(line.expectation.distance)});
  }
  return table;
}

}  // namespace ridgehold
