// The log lines and metrics of a request: one line at its end, one for each attempt that failed.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/ids.h"
#include "base/result_code.h"
#include "gateway/attempt_policy.h"
#include "gateway/backend_directory.h"

namespace ridgehold {

class GatewayState;

/// What is remembered of a request for its line.
struct RequestRecord {
  RequestId request;
  WorkspaceId workspace;
  RuleId route;
  ServiceId service;
  BackendId backend;  ///< the last one tried
  TimePoint received{};
  std::optional<TimePoint> first_event;
  std::uint32_t attempts = 0;
  // What decided the last choice of a backend server.
  double expected_ms = 0;
  double tokens_to_read = 0;
  std::uint32_t running_there = 0;  ///< of all gateways
  std::string fetched_from;
  int status = 0;  ///< sent to the caller
  ResultCode code = ResultCode::kOk;
  bool out_of_retries = false;
  std::string detail;
};

/// Writes the request's line and counts it.
void LogRequest(GatewayState& state, const RequestRecord& record);

/// Writes the line of an attempt that was not the last word.
void LogAttempt(GatewayState& state, const RequestRecord& record, const Backend& backend,
                const AttemptFacts& facts, ResultCode code, NextStep step);

}  // namespace ridgehold
