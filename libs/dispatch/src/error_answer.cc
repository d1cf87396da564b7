#include "dispatch/error_answer.h"

#include <nlohmann/json.hpp>

namespace ridgehold {
namespace {

const char* TypeOf(int status) {
  constexpr int kServerErrors = 500;
  if (status == 401) return "authentication_error";
  if (status == 429) return "rate_limit_error";
  return status >= kServerErrors ? "server_error" : "invalid_request_error";
}

}  // namespace

ErrorAnswer MakeErrorAnswer(const Failure& failure, std::chrono::seconds retry_after) {
  const ResultCodeInfo& info = Describe(failure.code);
  const std::string number = std::to_string(static_cast<int>(failure.code));
  ErrorAnswer answer;
  answer.status = info.http_status;
  answer.headers = {{"Content-Type", "application/json"},
                    {"X-Ridgehold-Code", number},
                    {"X-Ridgehold-Execution", std::string(ToString(info.execution))}};
  if (info.retry == RetryAdvice::kLater) {
    answer.headers.Add("Retry-After", std::to_string(retry_after.count()));
  } else {
    // OpenAI's client libraries follow this header.
    answer.headers.Add("X-Should-Retry", "false");
  }
  const std::string message =
      failure.detail.empty() ? std::string(info.explanation) : failure.detail;
  const nlohmann::json body = {{"error",
                                {{"message", message},
                                 {"type", TypeOf(info.http_status)},
                                 {"param", nullptr},
                                 {"code", info.name},
                                 {"ridgehold_code", static_cast<int>(failure.code)},
                                 {"execution", ToString(info.execution)}}}};
  answer.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return answer;
}

}  // namespace ridgehold
