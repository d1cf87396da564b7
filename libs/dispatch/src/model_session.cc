#include "dispatch/model_session.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/random_id.h"
#include "cache/backend_headers.h"
#include "dispatch/dispatcher.h"
#include "dispatch/error_answer.h"
#include "http/client.h"
#include "log/log.h"
#include "metrics/metrics.h"

namespace ridgehold {
namespace {

using nlohmann::json;
namespace header = backend_header;

constexpr int kHttpOk = 200;
constexpr std::size_t kMaxWholeAnswerBytes = std::size_t{64} << 20;

bool IsCallersFault(int status) {
  // 404, 408, 409 and 429 are about this engine now, not about the request.
  constexpr int kServerErrors = 500;
  return status >= 400 && status < kServerErrors && status != 404 && status != 408 &&
         status != 409 && status != 429;
}

/// The text that a streamed chunk adds to the answer.
std::string TextOfChunk(const std::string& data) {
  const json chunk = json::parse(data, nullptr, false);
  if (!chunk.is_object() || !chunk.contains("choices") || chunk["choices"].empty()) return "";
  const json& choice = chunk["choices"][0];
  if (choice.contains("delta")) return choice["delta"].value("content", "");
  return choice.value("text", "");
}

double SecondsSince(TimePoint start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

}  // namespace

void ModelSession::Start(Dispatcher& dispatcher, ModelRequest request, Responder responder,
                         OnFinished on_finished) {
  dispatcher.EarnRetry();
  const std::shared_ptr<ModelSession> session(new ModelSession(
      dispatcher, std::move(request), std::move(responder), std::move(on_finished)));
  session->TryNext();
}

ModelSession::ModelSession(Dispatcher& dispatcher, ModelRequest request, Responder responder,
                           OnFinished on_finished)
    : dispatcher_(dispatcher),
      request_(std::move(request)),
      responder_(std::move(responder)),
      on_finished_(std::move(on_finished)) {}

void ModelSession::TryNext() {
  HttpCall call;
  std::uint32_t number = 0;
  {
    const std::lock_guard lock(mutex_);
    auto route = ChooseRoute();
    if (!route) return;
    number = ++tries_;
    attempt_ = Attempt{};
    attempt_.number = number;
    attempt_.id = RequestId(RandomId());
    attempt_.route = std::move(*route);
    attempt_.state.Start();
    call = MakeCall();
  }
  // Not under the lock: a stopped client reports the end at once.
  auto self = shared_from_this();
  auto transfer = dispatcher_.client().Start(
      std::move(call),
      {.on_head = [self, number](int status,
                                 const Headers& headers) { self->OnHead(number, status, headers); },
       .on_body = [self, number](std::string_view bytes) { return self->OnBody(number, bytes); },
       .on_end = [self, number](const TransferEnd& end) { self->OnEnd(number, end); }});
  const std::lock_guard lock(mutex_);
  if (attempt_.number != number || attempt_.closed) return;
  attempt_.transfer = std::move(transfer);
  if (attempt_.broken || caller_gone_) attempt_.transfer->Cancel();
}

std::optional<Route> ModelSession::ChooseRoute() {
  ModelQuery query;
  query.selection = {request_.model, {}, request_.weights, excluded_};
  query.policy = request_.policy;
  query.chain = request_.chain;
  query.prompt_tokens = request_.prompt_tokens;
  std::optional<Failure> failure;
  auto route = ValueOr(
      [&]() -> Result<std::optional<Route>> {
        BOOST_LEAF_AUTO(chosen, dispatcher_.router().RouteModel(query, Clock::now()));
        return std::optional(std::move(chosen));
      },
      [&](const Failure& error) {
        failure = error;
        return std::optional<Route>();
      });
  if (!route) {
    GiveUp(std::move(*failure));
    return std::nullopt;
  }
  const auto deadline = dispatcher_.limits().first_token_deadline;
  const Duration expected = route->expectation.total();
  if (begun_ || expected <= deadline) return route;
  dispatcher_.router().NoteEnd(*route, false);
  const auto late = std::chrono::ceil<std::chrono::seconds>(expected - deadline);
  GiveUp({ResultCode::kDeadlineUnreachable, ""}, late);
  return std::nullopt;
}

HttpCall ModelSession::MakeCall() const {
  HttpCall call;
  call.method = "POST";
  call.url = attempt_.route.url + request_.path;
  call.headers = {{"Content-Type", "application/json"},
                  {header::kRequestId, attempt_.id.value()},
                  {header::kWeights, request_.weights.value()},
                  {header::kCacheSalt, request_.salt},
                  {header::kPriority, std::to_string(request_.priority)}};
  const std::string& incarnation = attempt_.route.incarnation.value();
  if (!incarnation.empty()) call.headers.Add(header::kIncarnation, incarnation);
  call.body = BodyToSend();
  call.idle_timeout = dispatcher_.limits().stall_timeout;
  return call;
}

std::string ModelSession::BodyToSend() const {
  if (sequencer_.next_offset() == 0) return request_.body;
  json body = json::parse(request_.body);
  std::string text;
  for (const std::string& frame : passed_frames_) text += TextOfChunk(frame);
  body["ridgehold_resume"] = {{"offset", sequencer_.next_offset()}, {"text", text}};
  return body.dump();
}

void ModelSession::OnHead(std::uint32_t number, int status, const Headers& headers) {
  const std::lock_guard lock(mutex_);
  if (number != attempt_.number || attempt_.closed) return;
  attempt_.status = status;
  attempt_.headers = headers;
  const bool refused = headers.Find(header::kNotRun).has_value();
  attempt_.state.TakeHead(refused);
  if (headers.Find(header::kLeaving)) dispatcher_.router().NoteLeaving(attempt_.route.backend);
  if (refused || status != kHttpOk) return;
  if (!HeadMatches(headers)) return Break(ResultCode::kForeignAnswer);
  sequencer_.StartAttempt(
      {attempt_.id, Incarnation(headers.Get(header::kIncarnation)), request_.weights});
}

bool ModelSession::HeadMatches(const Headers& headers) const {
  const std::string incarnation = headers.Get(header::kIncarnation);
  const std::string& expected = attempt_.route.incarnation.value();
  const bool incarnation_matches =
      !incarnation.empty() && (expected.empty() || expected == incarnation);
  return incarnation_matches && headers.Get(header::kRequestId) == attempt_.id.value() &&
         headers.Get(header::kWeights) == request_.weights.value() &&
         headers.Get(header::kCacheSalt) == request_.salt;
}

bool ModelSession::OnBody(std::uint32_t number, std::string_view bytes) {
  const std::lock_guard lock(mutex_);
  if (number != attempt_.number || attempt_.closed || attempt_.broken) return true;
  if (!request_.stream || attempt_.status != kHttpOk) {
    attempt_.body += bytes;
    if (attempt_.body.size() > kMaxWholeAnswerBytes) Break(ResultCode::kBackendBroken);
    return true;
  }
  if (unsent_bytes_ > dispatcher_.limits().stream_buffer_bytes) {
    paused_ = true;
    return false;
  }
  attempt_.reader.Append(bytes);
  TakeEvents();
  return true;
}

void ModelSession::TakeEvents() {
  while (auto event = attempt_.reader.Next()) {
    if (event->type == "ridgehold") {
      TakeNotice(*event);
      continue;
    }
    switch (sequencer_.Take(*event)) {
      case FrameVerdict::kPass:
        Forward(*event);
        break;
      case FrameVerdict::kDuplicate:
        dispatcher_.metrics().GetCounter("ridgehold_frames_dropped").Add();
        break;
      case FrameVerdict::kGap:
        return Break(ResultCode::kStreamLost);
      case FrameVerdict::kForeign:
        return Break(ResultCode::kForeignAnswer);
    }
  }
  if (attempt_.reader.failed()) Break(ResultCode::kBackendBroken);
}

void ModelSession::TakeNotice(const SseEvent& event) {
  const json notice = json::parse(event.data, nullptr, false);
  if (!notice.is_object()) return;
  const auto cached = notice.find("cached_tokens");
  if (cached == notice.end() || !cached->is_number_unsigned()) return;
  Metrics& metrics = dispatcher_.metrics();
  metrics.GetCounter("ridgehold_cached_tokens").Add(cached->get<std::uint64_t>());
  metrics.GetCounter("ridgehold_predicted_cached_tokens")
      .Add(std::min<std::uint64_t>(request_.prompt_tokens,
                                   attempt_.route.cached_blocks * kBlockTokens));
  metrics.GetCounter("ridgehold_prompt_tokens").Add(request_.prompt_tokens);
}

void ModelSession::Forward(const SseEvent& event) {
  if (!std::exchange(attempt_.had_first_frame, true)) {
    dispatcher_.router().NoteFirstToken(attempt_.route);
    dispatcher_.router().NoteSuccess(attempt_.route);
  }
  if (!std::exchange(begun_, true)) {
    dispatcher_.metrics()
        .GetSummary("ridgehold_first_token_seconds")
        .Observe(SecondsSince(request_.received));
    responder_.Begin(kHttpOk, {{"Content-Type", "text/event-stream"},
                               {"Cache-Control", "no-cache"},
                               {"X-Request-Id", request_.id.value()}});
  }
  if (!sequencer_.ended()) passed_frames_.push_back(event.data);
  std::string chunk = FormatSse(event.data);
  const std::size_t bytes = chunk.size();
  unsent_bytes_ += bytes;
  responder_.Write(std::move(chunk),
                   [self = shared_from_this(), bytes](bool ok) { self->OnWritten(bytes, ok); });
}

void ModelSession::OnWritten(std::size_t bytes, bool ok) {
  const std::lock_guard lock(mutex_);
  unsent_bytes_ -= bytes;
  if (!ok && !std::exchange(caller_gone_, true)) {
    // Closing the connection is what tells the engine to stop.
    if (attempt_.transfer) attempt_.transfer->Cancel();
    return;
  }
  const bool room = unsent_bytes_ <= dispatcher_.limits().stream_buffer_bytes / 2;
  if (paused_ && room) {
    paused_ = false;
    if (attempt_.transfer) attempt_.transfer->Resume();
  }
}

void ModelSession::Break(ResultCode code) {
  if (attempt_.broken) return;
  attempt_.broken = code;
  if (attempt_.transfer) attempt_.transfer->Cancel();
}

void ModelSession::OnEnd(std::uint32_t number, const TransferEnd& end) {
  {
    const std::lock_guard lock(mutex_);
    if (number != attempt_.number || attempt_.closed || finished_) return;
    CloseAttempt(end);
    if (CompleteIfAnswered()) return;
    const ResultCode code = Judge(end);
    excluded_.insert(attempt_.route.backend);
    Log(LogLevel::kWarn, "attempt failed",
        {{"request", request_.id.value()},
         {"workspace", request_.workspace.value()},
         {"backend", attempt_.route.backend.value()},
         {"code", std::string(Describe(code).name)},
         {"detail", end.detail}});
    const bool last_try = tries_ >= dispatcher_.limits().max_tries;
    if (last_try || !dispatcher_.SpendRetry()) {
      return GiveUp({code, "engine " + attempt_.route.backend.value() + ": " +
                               std::string(Describe(code).explanation)});
    }
    dispatcher_.metrics().GetCounter("ridgehold_retries").Add();
  }
  TryNext();
}

void ModelSession::CloseAttempt(const TransferEnd& end) {
  attempt_.closed = true;
  attempt_.complete = end.outcome == TransferOutcome::kComplete && !attempt_.broken;
  attempt_.transfer.reset();
  attempt_.state.TakeEnd(end.outcome);
  dispatcher_.router().NoteEnd(attempt_.route, attempt_.had_first_frame);
  if (attempt_.state.execution() != Execution::kNotRun) possibly_ran_ = true;
}

bool ModelSession::CompleteIfAnswered() {
  if (caller_gone_) {
    finished_ = true;
    Report(ResultCode::kCallerGone);
    return true;
  }
  if (request_.stream && begun_) {
    if (!sequencer_.ended()) return false;
    finished_ = true;
    responder_.End(ReportWhenWritten(ResultCode::kOk));
    return true;
  }
  const bool whole = attempt_.state.phase() == AttemptState::Phase::kAnswered;
  if (whole && !request_.stream && attempt_.status == kHttpOk && !attempt_.broken) {
    dispatcher_.router().NoteSuccess(attempt_.route);
    PassAnswerOn();
    return true;
  }
  // The engine found fault with the request itself; another would too.
  if (attempt_.complete && IsCallersFault(attempt_.status)) {
    PassAnswerOn();
    return true;
  }
  return false;
}

void ModelSession::PassAnswerOn() {
  Headers headers = {{"X-Request-Id", request_.id.value()}};
  headers.Add("Content-Type", attempt_.headers.Find("Content-Type").value_or("application/json"));
  finished_ = true;
  responder_.Send(attempt_.status, headers, std::move(attempt_.body),
                  ReportWhenWritten(ResultCode::kOk));
}

ResultCode ModelSession::Judge(const TransferEnd& end) const {
  Router& router = dispatcher_.router();
  if (attempt_.broken) return *attempt_.broken;
  if (attempt_.state.phase() == AttemptState::Phase::kRefused) return ResultCode::kBackendRefused;
  router.NoteFailure(attempt_.route, Clock::now());
  if (end.outcome == TransferOutcome::kNotSent) return ResultCode::kBackendUnreachable;
  if (end.outcome == TransferOutcome::kTimedOut) return ResultCode::kBackendTimeout;
  return begun_ ? ResultCode::kStreamLost : ResultCode::kBackendBroken;
}

void ModelSession::GiveUp(Failure failure, std::chrono::seconds retry_after) {
  const bool claims_not_run = Describe(failure.code).execution == Execution::kNotRun;
  if (claims_not_run && possibly_ran_) failure.code = ResultCode::kBackendBroken;
  const ErrorAnswer answer = MakeErrorAnswer(failure, retry_after);
  finished_ = true;
  if (!begun_) {
    responder_.Send(answer.status, answer.headers, answer.body, ReportWhenWritten(failure.code));
    return;
  }
  // Never `[DONE]`: the caller must see that the answer is not whole.
  responder_.Write(FormatSse(answer.body), [](bool) {});
  responder_.End(ReportWhenWritten(failure.code));
}

std::function<void(bool)> ModelSession::ReportWhenWritten(ResultCode code) {
  return [self = shared_from_this(), code](bool ok) {
    self->Report(ok ? code : ResultCode::kCallerGone);
  };
}

void ModelSession::Report(ResultCode code) { on_finished_({code, tries_, attempt_.route.backend}); }

}  // namespace ridgehold
