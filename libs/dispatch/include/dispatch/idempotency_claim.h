// The record of one Idempotency-Key, as kept in the platform's key-value service.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"

namespace ridgehold {

/// Written before the call is sent, and once more with its answer.
struct IdempotencyClaim {
  enum class State : std::uint8_t {
    kStarted,  ///< sent, or about to be; the answer is not known
    kDone,     ///< `status`, `content_type` and `body` are the answer
  };

  RequestId attempt;        ///< who made the claim
  std::string fingerprint;  ///< of method, path and body
  State state = State::kStarted;
  std::uint64_t started_unix_ms = 0;
  int status = 0;
  std::string content_type;
  std::string body;

  std::string Serialize() const;

  /// Returns nothing when `value` cannot be read.
  static std::optional<IdempotencyClaim> Parse(std::string_view value);
};

/// What a caller that comes with a key already claimed is told.
enum class ClaimVerdict : std::uint8_t {
  kMine,        ///< the claim is this attempt's own: send the call
  kAnswered,    ///< the first call's answer is there: give it
  kInProgress,  ///< the first call may still be running: come back
  kUnknown,     ///< the first call can be running no more, and left no answer
  kMismatch,    ///< the key was used for another request
};

/// Judges a stored claim. `longest_call` is how long a call can run.
ClaimVerdict JudgeClaim(const IdempotencyClaim& stored, const RequestId& attempt,
                        std::string_view fingerprint, std::uint64_t now_unix_ms,
                        std::chrono::milliseconds longest_call);

}  // namespace ridgehold
