// One caller's call to a plain service, from admission to its answer.

#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "base/ids.h"
#include "base/result.h"
#include "config/entities.h"
#include "dispatch/attempt_state.h"
#include "dispatch/model_session.h"
#include "http/call.h"
#include "http/headers.h"
#include "http/responder.h"
#include "routing/router.h"

namespace ridgehold {

class Dispatcher;

/// A checked and admitted call.
struct ServiceCall {
  RequestId id;
  WorkspaceId workspace;
  RoutingRule rule;
  std::string method;
  std::string target;  ///< path and query
  Headers headers;
  std::string body;
};

/// How a service call ended.
struct ServiceAnswer {
  std::optional<Failure> failure;  ///< none: the service's own answer follows
  Execution execution = Execution::kUnknown;
  int status = 0;
  Headers headers;
  std::string body;
  SessionReport report;
};

/// Keeps itself alive until `on_answer` was called, once, on the HTTP client's
/// thread. A call that is not repeatable is sent again only after an attempt
/// that certainly did not run.
class ServiceSession : public std::enable_shared_from_this<ServiceSession> {
 public:
  using OnAnswer = std::function<void(ServiceAnswer)>;

  static void Start(Dispatcher& dispatcher, ServiceCall call, OnAnswer on_answer);

 private:
  struct Attempt {
    Route route;
    AttemptState state;
    int status = 0;
    Headers headers;
    std::string body;
  };

  ServiceSession(Dispatcher& dispatcher, ServiceCall call, OnAnswer on_answer);

  void TryNext();
  HttpCall MakeCall() const;
  void OnEnd(const TransferEnd& end);
  ResultCode Judge(const TransferEnd& end) const;
  void GiveUp(Failure failure);

  Dispatcher& dispatcher_;
  const ServiceCall call_;
  OnAnswer on_answer_;
  // Attempts follow one another, so what follows needs no lock.
  Attempt attempt_;
  std::uint32_t tries_ = 0;
  std::set<BackendId> excluded_;
  bool possibly_ran_ = false;
};

}  // namespace ridgehold
