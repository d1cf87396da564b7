// What is known of a caller's request.

#pragma once

#include <string>

#include "net/beast.h"
#include "sleep.h"

namespace ridgehold::soak {

enum class RequestKind { kSafe, kUnsafe, kStream, kResumable };

inline bool IsStream(RequestKind kind) { return kind >= RequestKind::kStream; }
inline bool IsIdempotent(RequestKind kind) {
  return kind == RequestKind::kSafe || kind == RequestKind::kResumable;
}

/// One run of a request at an engine.
struct Run {
  std::string signature;   ///< names the request and the run
  std::string release;     ///< of the engine
  int status = 0;          ///< what the engine answered; 0 while it has not
  bool broke_off = false;  ///< the engine ended the answer early, or never gave it
};

struct RequestRecord {
  std::string id;
  RequestKind kind = RequestKind::kSafe;
  RequestMessage message;
  std::string key;
  std::string workspace;
  int process = 0;  ///< serial number of the process that it was sent to
  TimePoint sent{};
  std::string stream;   ///< the attempt that began the stream; its own id if it is new
  int events_read = 0;  ///< of a resumed stream, by the caller before
  int tries_left = 0;   ///< of a resumption, see BrokenStream
  std::string release;  ///< that began the stream; empty before its first event
  int refusal = 0;      ///< status that told the caller that it will not run
};

/// The number of events of a request's stream.
int EventCount(const std::string& id);

/// The body that a run of a request has.
std::string BodyOf(const std::string& signature);

/// One event of a run's stream.
std::string EventOf(const std::string& id, const std::string& signature, int number);

}  // namespace ridgehold::soak
