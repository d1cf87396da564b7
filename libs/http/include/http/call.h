// One outgoing HTTP call and how it ended.

#pragma once

#include <chrono>
#include <string>

#include "http/headers.h"

namespace ridgehold {

/// What to send, and how long to wait for each part of the answer.
struct HttpCall {
  std::string method = "GET";
  std::string url;
  Headers headers;
  std::string body;
  std::chrono::milliseconds connect_timeout{1'000};
  std::chrono::milliseconds total_timeout{0};  ///< 0: no limit
  /// Seconds without a byte after which the transfer ends as timed out; 0: none.
  std::chrono::seconds idle_timeout{0};
  /// Never use a kept connection: libcurl silently sends a request again when
  /// a kept connection turns out to be dead, which a call that must run at
  /// most once cannot bear.
  bool fresh_connection = false;
};

/// How a transfer ended.
enum class TransferOutcome {
  kComplete,   ///< the answer arrived whole
  kNotSent,    ///< no connection was made: the server cannot have seen the request
  kBroken,     ///< the connection broke after the request may have been sent
  kTimedOut,   ///< no answer, or no more of it, in time
  kCancelled,  ///< ended by this side
};

/// The end of a transfer.
struct TransferEnd {
  TransferOutcome outcome = TransferOutcome::kBroken;
  std::string detail;
};

/// A whole answer, for callers that do not stream.
struct HttpAnswer {
  int status = 0;
  Headers headers;
  std::string body;
};

}  // namespace ridgehold
