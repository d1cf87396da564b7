#include "gateway/error_response.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace ridgehold {

ResponseMessage MakeErrorResponse(const Failure& failure, const RequestId& request,
                                  std::chrono::milliseconds retry_after) {
  const ResultCodeInfo& info = Describe(failure.code);
  ResponseMessage response(static_cast<http::status>(info.http_status), 11);
  response.set(http::field::content_type, "application/json");
  response.set("X-Ridgehold-Code", std::to_string(static_cast<int>(info.code)));
  if (!request.value().empty()) response.set("X-Request-Id", request.value());
  if (info.retry == RetryAdvice::kLater) {
    const double seconds = std::chrono::duration<double>(retry_after).count();
    response.set(http::field::retry_after, fmt::format("{:.3f}", seconds));
  }
  // OpenAI's client libraries retry any 5xx response without this header.
  if (info.retry == RetryAdvice::kNever) response.set("X-Should-Retry", "false");
  const std::string message =
      failure.detail.empty() ? std::string(info.explanation) : failure.detail;
  response.body() =
      nlohmann::json{
          {"error",
           {{"code", info.name}, {"message", message}, {"execution", ToString(info.execution)}}}}
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  response.prepare_payload();
  return response;
}

}  // namespace ridgehold
