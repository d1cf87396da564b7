// Calls with an Idempotency-Key: claimed at the platform, sent once, answered again.

#pragma once

#include <chrono>
#include <memory>
#include <optional>

#include "base/result.h"
#include "dispatch/idempotency_claim.h"
#include "frontend/caller_listener.h"

namespace ridgehold {

class Dispatcher;
class EtcdGateway;

/// Thread-safe. Waits for the platform on a small pool of its own.
class ClaimedCalls {
 public:
  /// Everything referred to outlives Stop. `longest_call` is the time limit of
  /// a service call.
  ClaimedCalls(EtcdGateway& store, Dispatcher& dispatcher, std::chrono::milliseconds longest_call);
  ~ClaimedCalls();

  /// Claims the call's key and sends it; does not block.
  void Run(ClaimedCall claimed);

  /// Waits for what has been started; nothing is started afterwards.
  void Stop();

 private:
  struct Impl;

  void RunNow(ClaimedCall claimed);
  void Send(ClaimedCall claimed, IdempotencyClaim claim);

  std::unique_ptr<Impl> impl_;
};

}  // namespace ridgehold
