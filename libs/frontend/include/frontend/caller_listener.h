// The callers' side: OpenAI's API, plain services, health and metrics.

#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "base/ids.h"
#include "base/result.h"
#include "config/config.h"
#include "dispatch/model_session.h"
#include "dispatch/service_session.h"
#include "frontend/in_flight_table.h"
#include "http/request.h"
#include "http/responder.h"

namespace ridgehold {

class Dispatcher;
class Metrics;

/// A service call that has an Idempotency-Key, and where its answer goes.
struct ClaimedCall {
  ServiceCall call;
  std::string key;
  std::function<void(ServiceAnswer)> on_answer;
};

/// What the listener needs from the rest of the daemon.
struct CallerListenerParts {
  Dispatcher& dispatcher;
  Metrics& metrics;
  InFlightTable& in_flight;
  std::uint64_t max_body_bytes;
  std::function<std::shared_ptr<const Config>()> config;
  std::function<Revision()> revision;
  std::function<bool()> ready;
  /// Runs a call under the platform's at-most-once claim; must not block.
  std::function<void(ClaimedCall)> run_claimed;
};

/// Thread-safe: Handle is called by the HTTP server's workers at once.
class CallerListener {
 public:
  explicit CallerListener(CallerListenerParts parts) : parts_(std::move(parts)) {}

  void Handle(HttpRequest request, const Responder& responder);

  /// From now on requests are refused as kShuttingDown.
  void RefuseNew() { refusing_.store(true); }

 private:
  bool HandleOwnEndpoint(const HttpRequest& request, const Responder& responder) const;
  void HandleModel(HttpRequest request, const Responder& responder, const Config& config,
                   const Workspace& workspace);
  void HandleService(HttpRequest request, const Responder& responder, const RoutingRule& rule,
                     const Workspace& workspace);
  Result<ModelRequest> CheckModelRequest(HttpRequest request, const Config& config,
                                         const Workspace& workspace) const;
  bool Admit(const Workspace& workspace, const RequestId& id, const std::string& target,
             const Responder& responder);
  void Refuse(const Responder& responder, const Failure& failure,
              std::chrono::seconds retry_after) const;
  std::function<void(const SessionReport&)> OnFinished(const RequestId& id,
                                                       const WorkspaceId& workspace);

  CallerListenerParts parts_;
  std::atomic<bool> refusing_{false};
};

}  // namespace ridgehold
