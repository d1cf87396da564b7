// Log lines and metrics of requests: one line for each request and one for each failed attempt.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result_code.h"
#include "gateway/attempt_policy.h"
#include "gateway/backend_directory.h"
#include "gateway/backend_permit.h"
#include "gateway/inbound_request.h"
#include "gateway/request_fingerprint.h"
#include "groups/request_group.h"
#include "incarnation/answer_end.h"
#include "performance/stream_timing.h"
#include "priority/urgency.h"
#include "quota/quota_client.h"
#include "resumption/origin_finding.h"

namespace ridgehold {

class GatewayState;

/// A request that was sent to an engine whose weights were not the newest, or were no longer the
/// newest when it began.
struct OlderWeightsUse {
  WeightsNumber weights;
  WeightsNumber newer;         ///< the announced number that superseded them
  Duration age_when_sent{0};   ///< age of that announcement as known here; 0: announced later
  Duration age_when_begun{0};  ///< its age at the first event; 0: no event came
  bool assumed = false;        ///< the time of the announcement was assumed
};

/// The cost of polling other gateways for one placement.
struct PollRecord {
  std::uint32_t asked = 0;     ///< backend servers queried
  std::uint32_t answered = 0;  ///< of these, answered in time by the gateways that track them
  Duration took{0};
  std::optional<RequestGroup> group;  ///< nothing: the engines were not divided into groups
  bool left_group = false;            ///< placed on an engine of the other group
};

/// What the backend server had requested of this gateway, in its notices, when an attempt was sent.
struct NoticeRecord {
  std::optional<RequestRate> limit;
  bool leaving = false;
  Duration cool_down_left{0};
  Duration age{0};  ///< age of its last notice to this gateway
};

/// The memory of the engine that a request was placed on.
struct MemoryRecord {
  std::uint64_t held = 0;  ///< tokens held by the requests that ran there
  bool fits = true;        ///< the request fitted beside them
};

/// The data of a request that its log line shows.
struct RequestRecord {
  RequestId request;
  WorkspaceId workspace;
  RuleId route;
  ServiceId service;
  RequestFingerprint fingerprint;  ///< zero if the request was refused before its route was known
  BackendId backend;               ///< of the last attempt
  TimePoint received{};
  Duration deferred{0};               ///< time spent waiting for capacity
  Duration crash_proof_wait{0};       ///< time spent waiting for proof of crashes
  std::optional<RequestOrder> order;  ///< none: requests of the service are not ordered
  Duration forecast{0};               ///< of the wait for capacity, on arrival
  std::optional<TimePoint> first_event;
  std::optional<StreamPunctuality> punctuality;  ///< of a stream with a first event
  Duration longest_pause{0};                     ///< between its events
  std::uint32_t attempts = 0;
  // The estimates behind the last placement.
  PollRecord poll;
  double expected_ms = 0;
  double first_event_ms = 0;  ///< expected time until the prompt is prefilled
  double tokens_to_prefill = 0;
  std::uint32_t shared_tokens = 0;      ///< shared tokens of the prompt
  std::uint32_t known_tokens = 0;       ///< of these, tokens expected in the engine's cache
  std::uint64_t shared_parts = 0;       ///< hash of the shared parts; 0: none
  std::vector<std::uint64_t> part_ids;  ///< of the shared parts, in order
  bool answer_begun = false;            ///< an event of the last attempt has arrived
  /// Because of which the request was not sent; none: it is not quarantined.
  std::optional<RequestFingerprint> quarantined_by;
  std::uint32_t running_at_backend = 0;  ///< requests of all gateways on that backend server
  std::optional<double> slowness;        ///< of that engine, see BackendChoice
  std::optional<MemoryRecord> memory;    ///< none: not limited
  /// The peer that carried the last attempt, see PeerPath; empty: direct.
  std::string via_peer;
  ReleaseId release;                  ///< of the last attempt's backend server
  StartStamp registered_start;        ///< of its process, as registered when it was sent
  StartStamp server_start;            ///< as the process has told on the connection
  bool ends_with_connection = false;  ///< the last attempt's response has no length and no chunks
  std::optional<EndVerdict> end_verdict;  ///< on that response
  /// Why that response counts as broken, see OutboundConnection::fault_reason().
  std::string_view response_fault;
  std::string cache_scope;  ///< of a generation's last attempt
  /// The attempt that this one resumes, see InboundRequest; empty: a new stream.
  RequestId resumes;
  std::optional<OriginFinding> origin;  ///< the release of a resumed stream
  bool half_closed = false;             ///< the caller had ended its sending side
  std::string fetched_from;
  std::optional<OlderWeightsUse> older_weights;
  std::optional<NoticeRecord> backend_notice;  ///< none if no notice is known here
  Permit permit;  ///< of the last attempt, if its backend server has a rate limit
  std::uint32_t permits_refused = 0;  ///< by the instances that keep count
  std::optional<QuotaOutcome> quota;  ///< none if the workspace has no quota
  std::uint64_t quota_tokens = 0;     ///< tokens that the request takes of it
  Duration quota_latency{0};          ///< time until the verdict was known
  int status = 0;                     ///< HTTP status sent to the caller
  ResultCode code = ResultCode::kOk;
  bool retry_budget_exhausted = false;
  bool outlasted_patience = false;  ///< an attempt was not given up as no other could start
  Duration retry_delay{0};          ///< longest time from the grant of a retry to its send
  std::string detail;
};

/// The notices of the backend server known here; nothing if there are none.
std::optional<NoticeRecord> NoticeRecordOf(const Backend& backend, TimePoint now);

/// Writes the log line of a finished request and updates its metrics.
void LogRequest(GatewayState& state, const RequestRecord& record);

/// Writes the log line of a failed attempt and updates its metrics.
void LogAttempt(GatewayState& state, const RequestRecord& record, const Backend& backend,
                const RetryDecisionInput& facts, ResultCode code, NextStep step);

}  // namespace ridgehold
