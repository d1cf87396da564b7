// Metadata sent to a backend server with an attempt, and metadata read from its response head.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "base/ids.h"
#include "gateway/backend_pushback.h"
#include "gateway/inbound_request.h"

namespace ridgehold {

/// Headers that the gateway adds to a client's request. Empty fields are omitted, and the client's
/// own headers of the same names are removed.
struct AttemptDirectives {
  BackendId expected_backend;  ///< another incarnation on the address must reject the request
  std::optional<WorkspaceId> workspace;
  std::chrono::milliseconds time_left{0};
  std::optional<int> queue_priority;  ///< 0 is the most urgent
  std::optional<std::string> cache_salt;
  std::optional<WeightsNumber> expected_weights;
  std::optional<std::string> fetch_cache_from;  ///< address of another engine or store
  std::optional<std::string> save_cache_to;     ///< address of a store
  std::optional<std::uint64_t> resume_after;
};

/// Status and metadata of a response head.
struct BackendResponseHead {
  int status = 0;
  bool not_executed = false;   ///< the backend server states that it did not execute the request
  bool has_signature = false;  ///< proves that the backend server produced the response
  bool has_content_coding = false;  ///< the body was re-encoded on the way
  bool event_stream = false;
  RequestId request;  ///< empty if the response does not identify one
  std::optional<WeightsNumber> weights;
  BackendPushback pushback;
};

}  // namespace ridgehold
