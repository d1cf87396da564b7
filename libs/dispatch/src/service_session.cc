#include "dispatch/service_session.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "cache/backend_headers.h"
#include "dispatch/dispatcher.h"
#include "http/client.h"
#include "log/log.h"
#include "metrics/metrics.h"

namespace ridgehold {
namespace {

// Headers of one connection, and the caller's key, are not passed on.
constexpr auto kNotPassedOn = std::to_array<std::string_view>(
    {"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "TE", "Trailer",
     "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Authorization", "Expect"});

bool IsPassedOn(std::string_view name) {
  return std::ranges::none_of(kNotPassedOn,
                              [&](std::string_view other) { return SameHeaderName(name, other); });
}

}  // namespace

void ServiceSession::Start(Dispatcher& dispatcher, ServiceCall call, OnAnswer on_answer) {
  dispatcher.EarnRetry();
  const std::shared_ptr<ServiceSession> session(
      new ServiceSession(dispatcher, std::move(call), std::move(on_answer)));
  session->TryNext();
}

ServiceSession::ServiceSession(Dispatcher& dispatcher, ServiceCall call, OnAnswer on_answer)
    : dispatcher_(dispatcher), call_(std::move(call)), on_answer_(std::move(on_answer)) {}

void ServiceSession::TryNext() {
  const Selection selection{{}, call_.rule.service, {}, excluded_};
  std::optional<Failure> failure;
  attempt_ = Attempt{};
  ValueOr(
      [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(attempt_.route,
                          dispatcher_.router().RouteService(selection, Clock::now()));
        return {};
      },
      [&](const Failure& error) { failure = error; });
  if (failure) return GiveUp(std::move(*failure));
  ++tries_;
  attempt_.state.Start();
  auto self = shared_from_this();
  dispatcher_.client().Start(
      MakeCall(),
      {.on_head =
           [self](int status, const Headers& headers) {
             self->attempt_.status = status;
             self->attempt_.headers = headers;
             self->attempt_.state.TakeHead(headers.Find(backend_header::kNotRun).has_value());
           },
       .on_body =
           [self](std::string_view bytes) {
             self->attempt_.body += bytes;
             return true;
           },
       .on_end = [self](const TransferEnd& end) { self->OnEnd(end); }});
}

HttpCall ServiceSession::MakeCall() const {
  HttpCall call;
  call.method = call_.method;
  call.url = attempt_.route.url + call_.target;
  for (const HeaderField& field : call_.headers.fields()) {
    if (IsPassedOn(field.name)) call.headers.Add(field.name, field.value);
  }
  call.headers.Add("X-Ridgehold-Workspace", call_.workspace.value());
  call.headers.Add(backend_header::kRequestId, call_.id.value());
  call.body = call_.body;
  call.total_timeout = dispatcher_.limits().service_timeout;
  call.fresh_connection = !call_.rule.repeatable;
  return call;
}

void ServiceSession::OnEnd(const TransferEnd& end) {
  attempt_.state.TakeEnd(end.outcome);
  Router& router = dispatcher_.router();
  router.NoteEnd(attempt_.route, true);
  if (attempt_.headers.Find(backend_header::kLeaving)) router.NoteLeaving(attempt_.route.backend);
  if (attempt_.state.phase() == AttemptState::Phase::kAnswered) {
    router.NoteSuccess(attempt_.route);
    Headers headers;
    for (const HeaderField& field : attempt_.headers.fields()) {
      if (IsPassedOn(field.name)) headers.Add(field.name, field.value);
    }
    return on_answer_({std::nullopt,
                       Execution::kRan,
                       attempt_.status,
                       std::move(headers),
                       std::move(attempt_.body),
                       {ResultCode::kOk, tries_, attempt_.route.backend}});
  }
  const ResultCode code = Judge(end);
  if (attempt_.state.execution() != Execution::kNotRun) possibly_ran_ = true;
  excluded_.insert(attempt_.route.backend);
  Log(LogLevel::kWarn, "attempt failed",
      {{"request", call_.id.value()},
       {"workspace", call_.workspace.value()},
       {"backend", attempt_.route.backend.value()},
       {"code", std::string(Describe(code).name)},
       {"detail", end.detail}});
  const bool may_repeat = attempt_.state.MayRepeat(call_.rule.repeatable) &&
                          tries_ < dispatcher_.limits().max_tries && dispatcher_.SpendRetry();
  if (!may_repeat) return GiveUp({code, ""});
  dispatcher_.metrics().GetCounter("ridgehold_retries").Add();
  TryNext();
}

ResultCode ServiceSession::Judge(const TransferEnd& end) const {
  if (attempt_.state.phase() == AttemptState::Phase::kRefused) return ResultCode::kBackendRefused;
  dispatcher_.router().NoteFailure(attempt_.route, Clock::now());
  if (attempt_.state.execution() == Execution::kNotRun) return ResultCode::kBackendUnreachable;
  return end.outcome == TransferOutcome::kTimedOut ? ResultCode::kBackendTimeout
                                                   : ResultCode::kBackendBroken;
}

void ServiceSession::GiveUp(Failure failure) {
  const bool claims_not_run = Describe(failure.code).execution == Execution::kNotRun;
  if (claims_not_run && possibly_ran_) failure.code = ResultCode::kBackendBroken;
  const Execution execution = Describe(failure.code).execution;
  const SessionReport report{failure.code, tries_, attempt_.route.backend};
  on_answer_({std::move(failure), execution, 0, {}, "", report});
}

}  // namespace ridgehold
