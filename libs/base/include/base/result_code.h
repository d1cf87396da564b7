// Result codes of rejected and failed requests, and whether the request was executed.

#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace ridgehold {

/// What a result code says about the execution of the request.
enum class Execution : std::uint8_t {
  kNotRun,   ///< no backend server has executed it
  kRan,      ///< a backend server executed it
  kUnknown,  ///< a backend server may have executed it
};

/// Whether the caller may retry.
enum class RetryAdvice : std::uint8_t {
  kNever,             ///< the same request will fail again
  kLater,             ///< retry after the time in `Retry-After`
  kOnlyIfIdempotent,  ///< retry only if executing the request twice is harmless
};

/// Numbered result codes. The numbers are stable; docs/RESULT-CODES.md lists them.
enum class ResultCode : std::uint16_t {
  kOk = 0,
  // 1xxx: errors in the request itself.
  kMalformedRequest = 1001,
  kUnauthorized = 1002,
  kUnknownModel = 1003,
  kNoRoute = 1004,
  kBodyTooLarge = 1005,
  kIdempotencyMismatch = 1006,
  kIdempotencyInProgress = 1007,
  kNotFound = 1008,
  kHeaderTooLarge = 1009,
  kRequestTooSlow = 1010,
  kOverBurst = 1011,
  kPromptTooLarge = 1012,
  kUnsupportedCoding = 1013,
  // 2xxx: rejected by admission control; nothing was sent to a backend server.
  kOverloaded = 2001,
  kWorkspaceLimit = 2002,
  kDeadlineUnreachable = 2003,
  kShuttingDown = 2004,
  kNotReady = 2005,
  kConfigStale = 2006,
  kNotStartedInTime = 2007,
  kOverQuota = 2008,
  kQuotaUnknown = 2009,
  kWaitTooLong = 2011,
  kOriginUnknown = 2012,
  // 3xxx: errors of, or on the way to, backend servers.
  kNoBackend = 3001,
  kBackendRefused = 3002,
  kBackendUnreachable = 3003,
  kBackendBroken = 3004,
  kBackendTimeout = 3005,
  kStreamLost = 3006,
  kForeignAnswer = 3007,
  kCallerGone = 3008,
  kWeightsPastLimit = 3009,
  kPoisonRequest = 3010,
  kBackendsAtLimit = 3011,
  kReleaseGone = 3012,
  // 4xxx: errors of the platform's key-value service.
  kPlatformUnavailable = 4001,
  kPlatformAnswerLost = 4002,
  kPlatformMalformed = 4003,
  kOutcomeUnknown = 4004,
  // 5xxx: errors in configuration and operator commands.
  kSyntax = 5001,
  kInvalidCommand = 5002,
  kRevisionConflict = 5003,
  kUnresolvedChange = 5004,
  kStaleStore = 5005,
  kInvalidSettings = 5006,
  kAddressUnavailable = 5007,
  // 6xxx: errors between daemons.
  kMalformedPeerMessage = 6001,
  // 9xxx: internal errors.
  kInternal = 9001,
};

/// One row of the table of result codes.
struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;         ///< stable name, as in the JSON error's `code`
  int http_status;               ///< status sent to callers
  Execution execution;           ///< whether the request was executed
  RetryAdvice retry;             ///< whether the caller may retry
  std::string_view explanation;  ///< one sentence, as in docs/RESULT-CODES.md
};

/// Returns the row for `code`, or the row for kInternal if `code` is unknown.
const ResultCodeInfo& Describe(ResultCode code);

/// Returns all rows.
std::span<const ResultCodeInfo> AllResultCodes();

/// Returns `not run`, `ran` or `unknown`.
std::string_view ToString(Execution execution);

/// Returns `never`, `later` or `only if idempotent`.
std::string_view ToString(RetryAdvice advice);

}  // namespace ridgehold
