// The log lines and metrics of a request: one line at its end, one for each attempt that failed.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/ids.h"
#include "base/result_code.h"
#include "gateway/attempt_policy.h"
#include "gateway/backend_directory.h"
#include "gateway/backend_permit.h"
#include "gateway/inbound_request.h"
#include "gateway/request_fingerprint.h"
#include "quota/quota_client.h"

namespace ridgehold {

class GatewayState;

/// A request that was sent to an engine with weights that were not the newest,
/// or whose weights were no longer the newest when it began.
struct OlderWeightsUse {
  WeightsNumber weights;
  WeightsNumber newer;         ///< the number that outdated them
  Duration age_when_sent{0};   ///< of that naming, as this gateway counts; 0: named later
  Duration age_when_begun{0};  ///< the same at the first event; 0: none came
  bool assumed = false;        ///< the naming's moment was a guess
};

/// What a choice cost in questions to other gateways.
struct PollRecord {
  std::uint32_t asked = 0;     ///< backend servers
  std::uint32_t answered = 0;  ///< of them, by the gateways that track them, in time
  Duration took{0};
};

/// What the backend server had asked of this gateway when a request was sent there.
struct NoticeRecord {
  std::optional<RequestRate> limit;
  bool leaving = false;
  Duration rest_left{0};
  Duration age{0};  ///< of its last notice to this gateway
};

/// What is remembered of a request for its line.
struct RequestRecord {
  RequestId request;
  WorkspaceId workspace;
  RuleId route;
  ServiceId service;
  RequestFingerprint fingerprint;  ///< zero: the request was refused before its route was known
  BackendId backend;               ///< the last one tried
  TimePoint received{};
  Duration deferred{0};  ///< waited here for room at an engine
  std::optional<TimePoint> first_event;
  std::uint32_t attempts = 0;
  // What decided the last choice of a backend server.
  PollRecord poll;
  double expected_ms = 0;
  double first_event_ms = 0;  ///< expected until the prompt is read
  double tokens_to_read = 0;
  std::uint32_t shared_tokens = 0;       ///< of the prompt
  std::uint32_t known_tokens = 0;        ///< of those, what the engine was taken to have
  std::uint64_t shared_parts = 0;        ///< hash of them; 0: none
  std::uint32_t running_at_backend = 0;  ///< of all gateways
  std::string fetched_from;
  std::optional<OlderWeightsUse> older_weights;
  std::optional<NoticeRecord> backend_notice;  ///< none: nothing, as far as is known here
  Permit permit;                               ///< of the last attempt, if its server names a limit
  std::uint32_t permits_refused = 0;           ///< by whoever counts, at any server
  std::optional<QuotaOutcome> quota;           ///< none: the workspace has no quota
  std::uint64_t quota_tokens = 0;              ///< what the request needs of it
  Duration quota_latency{0};                   ///< until it was known
  int status = 0;                              ///< sent to the caller
  ResultCode code = ResultCode::kOk;
  bool retry_budget_exhausted = false;
  std::string detail;
};

/// Nothing if it has asked for nothing that this gateway has heard of.
std::optional<NoticeRecord> NoticeRecordOf(const Backend& backend, TimePoint now);

/// Writes the request's line and counts it.
void LogRequest(GatewayState& state, const RequestRecord& record);

/// Writes the line of an attempt that was not the last word.
void LogAttempt(GatewayState& state, const RequestRecord& record, const Backend& backend,
                const AttemptFacts& facts, ResultCode code, NextStep step);

}  // namespace ridgehold
