#include "frontend/operator_listener.h"

#include <nlohmann/json.hpp>

#include "base/random_id.h"
#include "dispatch/error_answer.h"
#include "frontend/operator_service.h"
#include "metrics/metrics.h"

namespace ridgehold {
namespace {

constexpr int kHttpOk = 200;
constexpr std::string_view kBearer = "Bearer ";
const Headers kJson = {{"Content-Type", "application/json"}};

void SendFailure(const Responder& responder, const Failure& failure) {
  const ErrorAnswer answer = MakeErrorAnswer(failure);
  responder.Send(answer.status, answer.headers, answer.body);
}

std::string ToJson(const Table& table) {
  return nlohmann::json{{"columns", table.columns}, {"rows", table.rows}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

void OperatorListener::Handle(const HttpRequest& request, const Responder& responder) const {
  if (!MayEnter(request)) {
    return SendFailure(responder, {ResultCode::kUnauthorized, "the operators' key is not right"});
  }
  if (request.method == "POST" && request.path == "/v1/command") {
    return RunCommand(request, responder);
  }
  if (request.path == "/v1/revision") {
    return responder.Send(kHttpOk, kJson, std::to_string(service_.InForce().value()));
  }
  if (request.path == "/v1/dump") return responder.Send(kHttpOk, kJson, dump_());
  if (request.path == "/metrics") {
    return responder.Send(kHttpOk, {{"Content-Type", "text/plain"}}, metrics_.Print());
  }
  SendFailure(responder, {ResultCode::kNotFound, ""});
}

bool OperatorListener::MayEnter(const HttpRequest& request) const {
  if (key_sha256_.empty()) return true;
  const std::string authorization = request.headers.Get("Authorization");
  return authorization.starts_with(kBearer) &&
         Sha256Hex(authorization.substr(kBearer.size())) == key_sha256_;
}

void OperatorListener::RunCommand(const HttpRequest& request, const Responder& responder) const {
  const std::string author = request.headers.Find("X-Ridgehold-Author").value_or("operator");
  const bool dry_run = request.query == "dry_run=1";
  ValueOr(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(table, service_.Run(request.body, author, dry_run));
        responder.Send(kHttpOk, kJson, ToJson(table));
        return {};
      },
      [&](const Failure& failure) { SendFailure(responder, failure); });
}

}  // namespace ridgehold
