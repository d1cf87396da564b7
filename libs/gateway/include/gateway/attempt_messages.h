// What one attempt tells a backend server, and what its answer's head tells back.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "base/ids.h"
#include "gateway/backend_notice.h"
#include "gateway/inbound_request.h"

namespace ridgehold {

/// What the gateway adds to a caller's request. Empty fields are not sent, and
/// nothing that the caller sent in their place is.
struct AttemptDirectives {
  BackendId expected_backend;  ///< another incarnation on the address must refuse
  std::optional<WorkspaceId> workspace;
  std::chrono::milliseconds time_left{0};
  std::optional<int> queue_priority;  ///< 0 is first
  std::optional<std::string> cache_salt;
  std::optional<WeightsNumber> expected_weights;
  std::optional<std::string> fetch_cache_from;  ///< address of another engine or store
  std::optional<std::string> save_cache_to;     ///< address of a store
  std::optional<std::uint64_t> resume_after;
};

/// What an answer's status line and header fields say.
struct AnswerHead {
  int status = 0;
  bool not_executed = false;        ///< the backend server states that it did not run the request
  bool has_signature = false;       ///< proof that the backend server made the answer
  bool has_content_coding = false;  ///< the body is not as the backend server made it
  bool event_stream = false;
  RequestId request;  ///< empty: not named
  std::optional<WeightsNumber> weights;
  BackendNotice notice;
};

}  // namespace ridgehold
