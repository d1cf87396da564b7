#include "frontend/caller_listener.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/random_id.h"
#include "cache/prompt.h"
#include "dispatch/dispatcher.h"
#include "dispatch/error_answer.h"
#include "log/log.h"
#include "metrics/metrics.h"

namespace ridgehold {
namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpNotReady = 503;
constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kModelsPrefix = "/v1/models/";

const Headers kPlainText = {{"Content-Type", "text/plain; version=0.0.4"}};
const Headers kJson = {{"Content-Type", "application/json"}};

/// Returns the workspace whose key the request bears, or null.
const Workspace* Authenticate(const HttpRequest& request, const Config& config) {
  const std::string authorization = request.headers.Get("Authorization");
  if (!authorization.starts_with(kBearer)) return nullptr;
  return config.FindByKey(Sha256Hex(authorization.substr(kBearer.size())));
}

bool IsModelCall(const HttpRequest& request) {
  return request.method == "POST" &&
         (request.path == "/v1/chat/completions" || request.path == "/v1/completions");
}

json DescribeModel(const ModelId& id) {
  return {{"id", id.value()}, {"object", "model"}, {"created", 0}, {"owned_by", "ridgehold"}};
}

std::string ListModels(const Config& config) {
  json data = json::array();
  for (const auto& [id, model] : config.models()) data.push_back(DescribeModel(id));
  return json{{"object", "list"}, {"data", data}}.dump(-1, ' ', false,
                                                       json::error_handler_t::replace);
}

int PriorityOf(const HttpRequest& request) {
  // Callers may lower their own requests, never raise them.
  return request.headers.Get("X-Priority") == "low" ? -1 : 0;
}

}  // namespace

void CallerListener::Handle(HttpRequest request, const Responder& responder) {
  if (HandleOwnEndpoint(request, responder)) return;
  if (refusing_.load()) {
    return Refuse(responder, {ResultCode::kShuttingDown, ""}, kDefaultRetryAfter);
  }
  if (request.body.size() > parts_.max_body_bytes) {
    return Refuse(responder, {ResultCode::kBodyTooLarge, ""}, kDefaultRetryAfter);
  }
  const std::shared_ptr<const Config> config = parts_.config();
  const Workspace* workspace = Authenticate(request, *config);
  if (workspace == nullptr) {
    return Refuse(responder, {ResultCode::kUnauthorized, ""}, kDefaultRetryAfter);
  }
  if (IsModelCall(request)) {
    return HandleModel(std::move(request), responder, *config, *workspace);
  }
  if (request.method == "GET" && request.path == "/v1/models") {
    return responder.Send(kHttpOk, kJson, ListModels(*config));
  }
  if (request.method == "GET" && request.path.starts_with(kModelsPrefix)) {
    const ModelId model(request.path.substr(kModelsPrefix.size()));
    if (config->models().contains(model)) {
      return responder.Send(kHttpOk, kJson, DescribeModel(model).dump());
    }
    return Refuse(responder, {ResultCode::kUnknownModel, ""}, kDefaultRetryAfter);
  }
  const RoutingRule* rule = config->FindByPath(request.path);
  if (rule == nullptr) {
    return Refuse(responder, {ResultCode::kNoRoute, "no rule for " + request.path},
                  kDefaultRetryAfter);
  }
  HandleService(std::move(request), responder, *rule, *workspace);
}

bool CallerListener::HandleOwnEndpoint(const HttpRequest& request,
                                       const Responder& responder) const {
  if (request.path == "/healthz") {
    responder.Send(kHttpOk, kPlainText, "ok\n");
    return true;
  }
  if (request.path == "/readyz") {
    const bool ready = parts_.ready();
    responder.Send(ready ? kHttpOk : kHttpNotReady, kPlainText, ready ? "ready\n" : "not ready\n");
    return true;
  }
  if (request.path == "/metrics") {
    responder.Send(kHttpOk, kPlainText, parts_.metrics.Print());
    return true;
  }
  return false;
}

void CallerListener::HandleModel(HttpRequest request, const Responder& responder,
                                 const Config& config, const Workspace& workspace) {
  std::optional<Failure> failure;
  ModelRequest checked;
  ValueOr(
      [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(checked, CheckModelRequest(std::move(request), config, workspace));
        return {};
      },
      [&](const Failure& fault) { failure = fault; });
  if (failure) return Refuse(responder, *failure, kDefaultRetryAfter);
  if (!Admit(workspace, checked.id, checked.model.value(), responder)) return;
  auto on_finished = OnFinished(checked.id, workspace.id);
  ModelSession::Start(parts_.dispatcher, std::move(checked), responder, std::move(on_finished));
}

Result<ModelRequest> CallerListener::CheckModelRequest(HttpRequest request, const Config& config,
                                                       const Workspace& workspace) const {
  BOOST_LEAF_AUTO(prompt, ParsePrompt(request.body));
  const auto model = config.models().find(prompt.model);
  if (model == config.models().end()) {
    return Fail(ResultCode::kUnknownModel, "no model " + prompt.model.value());
  }
  ModelRequest checked;
  checked.received = Clock::now();
  checked.id = RequestId(RandomId());
  checked.workspace = workspace.id;
  checked.model = prompt.model;
  checked.weights = model->second.weights;
  checked.policy = config.RuleFor(prompt.model).policy;
  checked.path = request.path;
  checked.stream = prompt.stream;
  checked.salt = CacheSalt({workspace.id, prompt.model, checked.weights});
  checked.chain = HashBlocks(prompt.text, checked.salt);
  checked.prompt_tokens = CountTokens(prompt.text);
  checked.priority = PriorityOf(request);
  checked.body = std::move(request.body);
  return checked;
}

void CallerListener::HandleService(HttpRequest request, const Responder& responder,
                                   const RoutingRule& rule, const Workspace& workspace) {
  const RequestId id(RandomId());
  if (!Admit(workspace, id, request.path, responder)) return;
  ServiceCall call;
  call.id = id;
  call.workspace = workspace.id;
  call.rule = rule;
  call.method = request.method;
  call.target = request.query.empty() ? request.path : request.path + "?" + request.query;
  call.headers = std::move(request.headers);
  call.body = std::move(request.body);
  auto on_answer = [responder, finished = OnFinished(id, workspace.id)](ServiceAnswer answer) {
    auto written = [finished, report = answer.report](bool) { finished(report); };
    if (!answer.failure) {
      return responder.Send(answer.status, answer.headers, std::move(answer.body), written);
    }
    const ErrorAnswer error = MakeErrorAnswer(*answer.failure);
    responder.Send(error.status, error.headers, error.body, written);
  };
  const std::string key = call.headers.Get("Idempotency-Key");
  const bool needs_claim =
      !key.empty() && !rule.repeatable && rule.deduplication == Deduplication::kPlatform;
  if (!needs_claim) {
    return ServiceSession::Start(parts_.dispatcher, std::move(call), std::move(on_answer));
  }
  parts_.run_claimed({std::move(call), key, std::move(on_answer)});
}

bool CallerListener::Admit(const Workspace& workspace, const RequestId& id,
                           const std::string& target, const Responder& responder) {
  const auto refusal = parts_.in_flight.Enter(workspace, {id, workspace.id, target, Clock::now()});
  if (!refusal) return true;
  Refuse(responder, {refusal->code, ""}, refusal->retry_after);
  return false;
}

void CallerListener::Refuse(const Responder& responder, const Failure& failure,
                            std::chrono::seconds retry_after) const {
  const std::string label = "code=\"" + std::string(Describe(failure.code).name) + "\"";
  parts_.metrics.GetCounter("ridgehold_requests", label).Add();
  const ErrorAnswer answer = MakeErrorAnswer(failure, retry_after);
  responder.Send(answer.status, answer.headers, answer.body);
}

std::function<void(const SessionReport&)> CallerListener::OnFinished(const RequestId& id,
                                                                     const WorkspaceId& workspace) {
  return [this, id, workspace](const SessionReport& report) {
    parts_.in_flight.Leave(id, Clock::now());
    const std::string name(Describe(report.code).name);
    parts_.metrics.GetCounter("ridgehold_requests", "code=\"" + name + "\"").Add();
    parts_.metrics.GetCounter("ridgehold_tries").Add(report.tries);
    Log(LogLevel::kInfo, "request",
        {{"request", id.value()},
         {"workspace", workspace.value()},
         {"revision", std::to_string(parts_.revision().value())},
         {"code", name},
         {"backend", report.backend.value()},
         {"tries", std::to_string(report.tries)}});
  };
}

}  // namespace ridgehold
