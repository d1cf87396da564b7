// Retry policy: deliver the response of an attempt, retry it, or fail with an accurate execution
// status.

#pragma once

#include <cstdint>

#include "base/result_code.h"
#include "gateway/routing_snapshot.h"

namespace ridgehold {

/// How an attempt ended.
enum class AttemptOutcome : std::uint8_t {
  kStreamed,     ///< the complete stream was forwarded
  kAnswered,     ///< a complete response was received
  kNotSent,      ///< no byte of the request was sent
  kInterrupted,  ///< the connection broke, or the response is invalid
  kTimedOut,     ///< no response before the deadline
  kCallerGone,   ///< cancelled because the client disconnected
  kSkipped,      ///< not sent: the backend server became ineligible
  kCancelled,    ///< cancelled by the gateway before the first event
};

/// Input of a retry decision.
struct RetryDecisionInput {
  AttemptOutcome outcome = AttemptOutcome::kInterrupted;
  int status = 0;             ///< only for kAnswered
  bool not_executed = false;  ///< the backend server states that it did not execute the request
  bool has_signature = false;
  bool may_repeat = false;     ///< the request may be executed more than once
  bool stream_begun = false;   ///< the client has already received events
  bool may_have_run = false;   ///< in this or an earlier attempt
  std::uint32_t runs = 0;      ///< attempts that may have executed, including this one
  std::uint32_t max_runs = 1;  ///< the route's limit
  std::uint32_t sends = 0;     ///< attempts with any outcome
  bool time_left = true;       ///< enough time remains for another attempt
};

/// Action after an attempt.
enum class NextStep : std::uint8_t {
  kDone,         ///< no further action
  kDeliver,      ///< forward the backend server's response
  kRetry,        ///< retry on another backend server if the retry budget allows
  kReject,       ///< report that the request was not executed
  kFail,         ///< report that the request may have been executed
  kAbortStream,  ///< abort the stream so that the client sees it as truncated
};

/// Additional sends beyond a route's execution limit: a rejected request was not executed.
inline constexpr std::uint32_t kMaxExtraSends = 3;

/// Returns whether the route permits another execution beside the current attempt's.
bool MayRunAgain(const RetryDecisionInput& facts);

/// Returns whether the attempt proves that the request was not executed.
bool ProvesNotExecuted(const RetryDecisionInput& facts);

/// Chooses the next step. If this is `kRetry` and the retry budget is exhausted, use
/// `StepWithoutRetry` instead.
NextStep DecideNext(const RetryDecisionInput& facts);

/// Chooses the next step when no further attempt is made.
NextStep StepWithoutRetry(const RetryDecisionInput& facts);

}  // namespace ridgehold
