// Processes one client request from decoding to the end of its response.

#pragma once

#include <algorithm>
#include <charconv>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "gateway/attempt_policy.h"
#include "gateway/backend_connection.h"
#include "gateway/backend_load.h"
#include "gateway/backend_search.h"
#include "gateway/caller_connection.h"
#include "gateway/connection_use.h"
#include "gateway/error_response.h"
#include "gateway/event_relay.h"
#include "gateway/exchange_plan.h"
#include "gateway/gateway_state.h"
#include "gateway/process_query.h"
#include "gateway/request_log.h"
#include "gateway/request_ordering.h"
#include "gateway/wire_format.h"
#include "net/byte_budget.h"
#include "net/wait.h"
#include "performance/stream_timing.h"
#include "retry/retry_reservation.h"
#include "task/spawn.h"

namespace ridgehold {

/// Sends the request to backend servers, one at a time, until one responds. Keeps itself and the
/// client connection alive. Never resends a non-repeatable request after an attempt that may have
/// been executed.
template <WireFormat Wire>
class Exchange : public std::enable_shared_from_this<Exchange<Wire>> {
 public:
  static std::shared_ptr<Exchange> Create(GatewayState& state,
                                          std::shared_ptr<CallerConnection> caller) {
    return std::shared_ptr<Exchange>(new Exchange(state, std::move(caller)));
  }

  /// Responds to the request that `caller` has read.
  net::awaitable<void> Run() {
    auto self = this->shared_from_this();
    state_.OnRequestStarted();
    std::exception_ptr error;
    try {
      co_await Respond();
    } catch (...) {
      error = std::current_exception();
    }
    if (error) {
      try {
        co_await FailUnexpectedly(error);
      } catch (...) {
        caller_->Abort();
      }
    }
    state_.OnRequestFinished();
    record_.half_closed = caller_->half_closed();
    RecordPunctuality();
    RecordServiceTime();
    LogRequest(state_, record_);
  }

  /// Fails a request without a response once the response deadline has passed. A response in
  /// progress, or one that has begun to arrive, continues.
  void FailIfPending() {
    const bool pending = !response_started_ && attempt_.connection;
    if (pending && !attempt_.connection->HasUnreadInput()) attempt_.connection->Cancel();
  }

 private:
  /// Until then another attempt that may not start now is not considered again.
  static constexpr std::chrono::milliseconds kReplacementInterval{250};
  /// Reading a response that has arrived takes less.
  static constexpr std::chrono::milliseconds kArrivalTime{10};
  /// A sound backend server may be silent for a second or two. After that, one that is still
  /// unreachable is given up, also without a replacement.
  static constexpr std::chrono::milliseconds kMaxUnreachableTime{1'200};
  /// A crashed backend server returns, and gateways that were cut off are reached again, within
  /// seconds or not at all.
  static constexpr std::chrono::milliseconds kResumptionRetryAfter{1'000};

  /// State of the current attempt.
  struct Attempt {
    BackendPtr backend;
    TimePoint sent{};
    TimePoint opened{};              ///< the connection
    TimePoint alive_at{};            ///< when the server last showed life on it, before
    bool broken = false;             ///< see ExchangeFault::kBroken
    RegistrationNumber last_update;  ///< of the registrations, when it was sent
    /// Of the process that was last known to answer there.
    StartStamp answering_start;
    std::optional<WeightsNumber> expected_weights;
    std::shared_ptr<OutboundConnection> connection;
    BackendResponseHead head;
    ResponseHead caller_head;
    std::string stated_length;  ///< the head's Content-Length; empty if it has none
    std::string body;
    bool prefilled = false;
    std::optional<TimePoint> begun;             ///< when its first event arrived
    bool survived = false;                      ///< the engine has lived on since, see PoisonGuard
    std::optional<ResultCode> cancel_reason;    ///< reason, if it was cancelled by this gateway
    bool replaced = false;                      ///< cancelled, as it took too long, for another one
    TimePoint patience_end = TimePoint::max();  ///< without a head
    std::optional<TimePoint> unreachable_since;  ///< its backend server, as probes found
  };

  Exchange(GatewayState& state, std::shared_ptr<CallerConnection> caller)
      : state_owner_(state.weak_from_this().lock()),
        state_(state),
        caller_(std::move(caller)),
        relay_(std::nullopt),
        buffered_(state.response_budget()),
        patience_timer_(state.executor()),
        search_(state,
                {plan_, inbound_, tried_, record_,
                 [this] { return caller_->caller_gone() || Quarantined() || LeavesTooSoon(); },
                 [this] { return WaitLimit(); }}) {}

  net::awaitable<void> Respond() {
    std::optional<Failure> failure = Decode();
    if (!failure) failure = Plan();
    if (failure) {
      co_await Refuse(std::move(*failure), kDefaultRetryAfter);
      co_return;
    }
    const auto wait_before_retry = RefuseOnArrival(state_, plan_, inbound_, record_, Clock::now());
    if (wait_before_retry) {
      co_await RefuseWith(ResultCode::kWaitTooLong, *wait_before_retry);
      co_return;
    }
    state_.retries().RecordRequest(plan_.service, Clock::now());
    caller_->WatchCaller([self = this->shared_from_this()] { self->OnCallerGone(); });
    const bool may_go_on = co_await FindRelease();
    if (!may_go_on) {
      co_await RefuseWith(ResultCode::kOriginUnknown, kResumptionRetryAfter);
      co_return;
    }
    if (plan_.quota) {
      const std::optional<ResultCode> refusal = co_await AcquireQuota();
      if (refusal) {
        const auto retry_after = RetryAfterQuota();
        co_await RefuseWith(*refusal, retry_after);
        co_return;
      }
    }
    co_await Send();
    const bool unused = record_.quota && !retry_input_.may_have_run;
    if (unused) state_.RefundQuota(record_.quota->ticket);
  }

  /// Ends a request whose processing threw an exception. It may have run.
  net::awaitable<void> FailUnexpectedly(std::exception_ptr error) {
    LogException("request " + record_.request.value(), error);
    if (attempt_.connection) attempt_.connection->Cancel();
    EndPatience();
    load_.reset();
    last_code_ = ResultCode::kInternal;
    co_await Finish(response_started_ || response_sent_ ? NextStep::kAbortStream : NextStep::kFail);
  }

  /// Determines the release at which a resumed stream goes on. Returns false if it is not known.
  net::awaitable<bool> FindRelease() {
    if (!inbound_.resume_after || !IsResumable()) co_return true;
    record_.origin = co_await state_.FindOrigin(inbound_.resumes, record_.workspace, plan_.service);
    plan_.release = record_.origin->release;
    co_return plan_.release.has_value();
  }

  bool IsResumable() const { return plan_.route->IsResumable(); }

  /// Sends the request to backend servers until one responds or no further attempt is allowed.
  net::awaitable<void> Send() {
    NextStep step = NextStep::kRetry;
    while (step == NextStep::kRetry) step = co_await TryOnce();
    co_await Finish(step);
  }

  /// Acquires quota before the request is queued or sent, so that a request over its quota uses no
  /// capacity.
  net::awaitable<std::optional<ResultCode>> AcquireQuota() {
    const TimePoint began = Clock::now();
    record_.quota_tokens = plan_.quota->tokens;
    record_.quota = co_await state_.AcquireQuota(*plan_.quota);
    record_.quota_latency = std::chrono::duration_cast<Duration>(Clock::now() - began);
    co_return QuotaRefusalCode(record_.quota->verdict);
  }

  std::chrono::milliseconds RetryAfterQuota() const {
    const auto known = std::chrono::ceil<std::chrono::milliseconds>(record_.quota->retry_after);
    return std::max(known, DefaultRetryAfter(plan_));
  }

  std::optional<Failure> Decode() {
    record_.received = caller_->received_at();
    std::optional<Failure> failure;
    ValueOr(
        [&]() -> Result<void> {
          BOOST_LEAF_ASSIGN(inbound_, Wire::ReadRequest(caller_->head(), record_.received));
          return {};
        },
        [&](const Failure& fault) { failure = fault; });
    record_.request = inbound_.id;
    if (inbound_.resume_after) record_.resumes = inbound_.resumes;
    return failure;
  }

  std::optional<Failure> Plan() {
    std::optional<Failure> failure;
    ValueOr(
        [&]() -> Result<void> {
          BOOST_LEAF_ASSIGN(plan_, PlanExchange(state_, inbound_, Clock::now()));
          return {};
        },
        [&](const Failure& fault) { failure = fault; });
    if (failure) return failure;
    record_.route = plan_.route->id;
    record_.service = plan_.service;
    if (plan_.workspace != nullptr) record_.workspace = plan_.workspace->id;
    if (plan_.chain) state_.prompt_sizes().Record(plan_.service, plan_.chain->prompt_tokens);
    plan_.features.content = FingerprintOf(record_.workspace, inbound_, caller_->request());
    plan_.features.workspace = WorkspaceHashOf(plan_);
    record_.fingerprint = plan_.features.content;
    if (inbound_.generation) {
      record_.part_ids = SharedPartIds(*inbound_.generation);
      plan_.features.AddParts(inbound_.generation->model, record_.part_ids);
    }
    is_trial_ = state_.poison().TakeTrial(plan_.features, record_.received);
    relay_ = EventRelay{inbound_.resume_after};
    retry_input_.may_repeat = plan_.route->MayRepeat();
    retry_input_.max_runs = plan_.route->max_attempts;
    return std::nullopt;
  }

  /// Makes one attempt and decides the next step.
  net::awaitable<NextStep> TryOnce() {
    if (Quarantined()) co_return StepWhenQuarantined();
    if (LeavesTooSoon()) {
      last_code_ = ResultCode::kShuttingDown;
      co_return StepWithoutRetry(retry_input_);
    }
    co_await AwaitCrashProof();
    RefreshCacheScope(state_, inbound_, plan_);
    const std::optional<BackendChoice> choice = co_await search_.Find(response_started_);
    if (caller_->caller_gone()) co_return NextStep::kDone;
    if (Quarantined()) co_return StepWhenQuarantined();
    // Without another backend server, the last attempt determines the result.
    if (!choice) co_return StepWithoutChoice();
    attempt_ = Attempt{};
    attempt_.backend = choice->backend;
    attempt_.expected_weights = choice->weights;
    ++retry_input_.sends;
    RecordChoice(*choice);
    ++record_.attempts;
    const bool last_run = retry_input_.runs + 1 >= retry_input_.max_runs;
    load_.emplace(state_, plan_, inbound_, *choice, last_run);
    const AttemptOutcome outcome = co_await RunAttempt(*choice);
    load_.reset();
    record_.answer_begun = attempt_.prefilled;
    RecordWait();
    const bool unused = outcome == AttemptOutcome::kNotSent || outcome == AttemptOutcome::kSkipped;
    if (unused && record_.permit.ticket) state_.RefundQuota(*record_.permit.ticket);
    if (outcome == AttemptOutcome::kInterrupted) co_await RecordInterruption();
    const NextStep step = co_await DecideNextStep(outcome);
    co_return step;
  }

  /// Whether the instance shuts down before a backend server that gets the request now will have
  /// answered. What may have run already, and may be repeated, is tried to the end.
  bool LeavesTooSoon() const {
    return !retry_input_.may_have_run && !response_started_ &&
           !FitsBeforeShutdown(state_, plan_, Clock::now());
  }

  /// Whether this request is quarantined, which may happen at any time because of copies at other
  /// gateways.
  bool Quarantined() const {
    return !is_trial_ && state_.poison().QuarantineOf(plan_.features, Clock::now()).has_value();
  }

  NextStep StepWhenQuarantined() {
    record_.quarantined_by = state_.poison().QuarantineOf(plan_.features, Clock::now());
    last_code_ = ResultCode::kPoisonRequest;
    return retry_input_.stream_begun ? NextStep::kAbortStream : NextStep::kFail;
  }

  /// Before a retry, determines whether the backend server crashed while running the request, and
  /// shares this with peers.
  net::awaitable<void> RecordInterruption() {
    const TimePoint now = Clock::now();
    if (attempt_.prefilled) {
      state_.poison().RecordInterruption(*attempt_.backend, plan_.features, attempt_.survived, now);
    } else {
      state_.poison().RecordPossibleCrash(*attempt_.backend, plan_.features, state_.gateways(),
                                          now);
    }
    co_await state_.ConfirmCrash(attempt_.backend);
  }

  /// Records how long the attempt waited for its answer to begin, if it was sent.
  void RecordWait() {
    if (attempt_.sent == TimePoint() || plan_.features.parts.empty()) return;
    const TimePoint end = attempt_.begun.value_or(Clock::now());
    const auto wait = std::chrono::duration_cast<Duration>(end - attempt_.sent);
    state_.poison().RecordWait(plan_.features, wait, GatewaysPerBackend(state_, plan_.service),
                               Clock::now());
  }

  /// Records that the engine has survived the beginning of its answer.
  void RecordSurvival(TimePoint begun, TimePoint now) {
    if (std::exchange(attempt_.survived, true)) return;
    state_.poison().RecordSurvival(plan_.features, begun, now);
  }

  /// Before an attempt, waits while copies of the request may have crashed so many backend servers
  /// that one more crash is the last that is allowed.
  net::awaitable<void> AwaitCrashProof() {
    const TimePoint start = Clock::now();
    if (is_trial_ || !state_.poison().AwaitsProof(plan_.features, start)) co_return;
    const TimePoint limit = WaitLimit() - state_.limits().min_attempt_time;
    co_await state_.AwaitCrashProof(plan_.features, limit);
    record_.crash_proof_wait += std::chrono::duration_cast<Duration>(Clock::now() - start);
  }

  /// Next step when no backend server can take the request.
  NextStep StepWithoutChoice() {
    const bool no_cause_known = last_code_ == ResultCode::kNoBackend;
    if (no_cause_known && search_.NextCapacity()) last_code_ = ResultCode::kBackendsAtLimit;
    if (last_code_ == ResultCode::kNoBackend && plan_.release) {
      last_code_ = ResultCode::kReleaseGone;
    }
    return StepWithoutRetry(retry_input_);
  }

  void RecordChoice(const BackendChoice& choice) {
    const Backend& backend = *choice.backend;
    record_.backend = backend.entry.id;
    record_.release = backend.entry.release;
    record_.expected_ms = choice.expected_ms;
    record_.first_event_ms = choice.first_event_ms;
    record_.slowness = choice.slowness;
    record_.tokens_to_prefill = choice.tokens_to_prefill;
    if (plan_.chain && !plan_.chain->parts.empty()) {
      record_.shared_parts = plan_.chain->parts.back().hash;
      record_.shared_tokens = plan_.chain->shared_tokens;
      record_.known_tokens = choice.known_tokens;
    }
    record_.running_at_backend = RunningAt(backend);
    if (plan_.memory) record_.memory = MemoryRecord{choice.memory_held, choice.fits};
    if (!choice.fits) state_.metrics().GetCounter("ridgehold_placed_without_room").Add();
    record_.fetched_from = choice.fetch_from.value_or("");
    if (plan_.chain) record_.cache_scope = plan_.cache_scope;
    const TimePoint now = Clock::now();
    record_.older_weights = OlderWeightsAt(state_, inbound_, choice.weights, now);
    record_.backend_notice = NoticeRecordOf(backend, now);
  }

  net::awaitable<AttemptOutcome> RunAttempt(const BackendChoice& choice) {
    BackendConnection acquired = co_await AcquireConnection(state_, attempt_.backend, WaitLimit());
    if (IsResumable()) {
      co_await IdentifyServer<Wire>(state_, attempt_.backend, acquired, WaitLimit());
    }
    Checkout& checkout = acquired.checkout;
    record_.via_peer = acquired.via_peer;
    if (checkout.fault != ExchangeFault::kNone) co_return OutcomeOf(checkout.fault);
    // Connecting takes time, during which the client may have disconnected or the backend server
    // become ineligible.
    const bool caller_gone = co_await caller_->ConfirmCallerGone();
    const TimePoint now = Clock::now();
    const bool too_late = now >= WaitLimit();
    const bool has_permit = !attempt_.backend->notice_state.limit() ||
                            record_.permit.verdict != PermitVerdict::kNotNeeded;
    const bool may_send =
        !Quarantined() && has_permit && MayStillSend(state_, plan_, inbound_, choice, now);
    const ReleaseId release = ReleaseOnConnection(state_, *attempt_.backend, *checkout.connection);
    const bool may_go_on = !plan_.release || release == *plan_.release;
    const bool leaves = LeavesTooSoon();
    const bool sendable = !caller_gone && !too_late && may_send && may_go_on && !leaves;
    if (!sendable || !ConsumeRetry(now)) {
      ReleaseConnection(state_, *attempt_.backend, record_.via_peer,
                        std::move(checkout.connection));
      if (caller_gone) co_return AttemptOutcome::kCallerGone;
      if (!sendable) last_code_ = may_go_on ? ResultCode::kNoBackend : ResultCode::kReleaseGone;
      if (leaves) last_code_ = ResultCode::kShuttingDown;
      co_return AttemptOutcome::kSkipped;
    }
    attempt_.connection = std::move(checkout.connection);
    AttemptDirectives directives = DirectivesFor(state_, plan_, choice, now);
    directives.resume_after = relay_.last_event();
    WatchStart();
    attempt_.sent = now;
    attempt_.opened = attempt_.connection->opened_at();
    attempt_.alive_at = std::max(attempt_.opened, attempt_.connection->idle_since());
    attempt_.last_update = state_.directory().last_update();
    attempt_.answering_start = attempt_.backend->answering_start != StartStamp()
                                   ? attempt_.backend->answering_start
                                   : attempt_.backend->entry.started;
    is_trial_ = false;
    record_.release = release;
    record_.server_start = attempt_.connection->server_start().value_or(StartStamp());
    record_.registered_start = attempt_.backend->entry.started;
    record_.ends_with_connection = false;
    record_.end_verdict.reset();
    attempt_.connection->StartRequest(Wire::MakeAttempt(caller_->request(), directives),
                                      caller_->body());
    const bool direct = record_.via_peer.empty();
    if (direct) use_.emplace(attempt_.backend, attempt_.connection);
    const AttemptOutcome outcome = co_await ReadResponse();
    record_.response_fault = attempt_.connection->fault_reason();
    EndPatience();
    use_.reset();
    if (direct && attempt_.broken && attempt_.connection->EndedByServer()) {
      state_.RecordBrokenExchange(attempt_.backend, attempt_.opened,
                                  attempt_.begun.value_or(attempt_.alive_at));
    }
    // A regular close would leave the server at work until it writes next.
    const bool abandoned =
        outcome == AttemptOutcome::kCallerGone && plan_.route->kind != RouteKind::kUnsafe;
    if (abandoned || outcome == AttemptOutcome::kInterrupted) attempt_.connection->Cancel();
    queued_ticket_.reset();
    unanswered_ticket_.reset();
    poison_ticket_.reset();
    ReleaseConnection(state_, *attempt_.backend, record_.via_peer, std::move(attempt_.connection));
    co_return outcome;
  }

  /// Consumes the reserved retry, if the attempt needs one. Returns false if the budget no longer
  /// allows it, after a wait or a pause of the process.
  bool ConsumeRetry(TimePoint now) {
    auto reserved = std::exchange(retry_, std::nullopt);
    if (!reserved) return true;
    record_.retry_delay = std::max(record_.retry_delay,
                                   std::chrono::duration_cast<Duration>(now - retry_reserved_at_));
    record_.retry_budget_exhausted = !reserved->Consume(now, state_.RetryStandingAt(now));
    return !record_.retry_budget_exhausted;
  }

  /// Reserves a retry after an attempt that has arrived at a backend server.
  net::awaitable<bool> ReserveRetry() {
    retry_ = co_await state_.ReserveRetry(plan_.service, WaitLimit());
    retry_reserved_at_ = Clock::now();
    record_.retry_budget_exhausted = !retry_;
    co_return retry_.has_value();
  }

  /// The limit on older weights applies when an engine starts a request, so an attempt still queued
  /// there at the limit is cancelled.
  void WatchStart() {
    WatchQuarantine();
    const bool direct = record_.via_peer.empty();
    if (direct && MayRunAgain(retry_input_)) WatchReachability();
    if (!inbound_.generation || !attempt_.expected_weights) return;
    const RequiredWeights required{inbound_.generation->model, *attempt_.expected_weights};
    state_.queued_attempts().Add(queued_ticket_, required,
                                 [this] { CancelAttempt(ResultCode::kWeightsPastLimit); });
  }

  /// Cancels an attempt that has not started when its request is quarantined. An attempt that
  /// produces events continues: if it completes, the request was not the cause. So does a call that
  /// may not be executed again.
  void WatchQuarantine() {
    if (plan_.route->kind == RouteKind::kUnsafe) return;
    state_.poison().Watch(poison_ticket_, plan_.features, [this] {
      if (!attempt_.prefilled) CancelAttempt(ResultCode::kPoisonRequest);
    });
  }

  /// Does nothing if a whole response is arriving: an event loop that was held up gets to the
  /// reason for the cancellation first. A stream's head and first bytes say nothing about its
  /// start.
  void CancelAttempt(ResultCode reason) {
    const bool is_stream = plan_.route->kind == RouteKind::kStream;
    if (!is_stream && attempt_.connection->HasUnreadInput()) return;
    attempt_.cancel_reason = reason;
    attempt_.connection->Cancel();
  }

  /// From `end` on, the attempt is given up as soon as another one may start.
  void SetPatience(TimePoint end) {
    patience_end_ = std::max(end, replacement_denied_until_);
    if (end == TimePoint::max()) return;
    // Each event of a stream moves the end; the timer follows when it expires.
    if (!patience_pending_ || patience_end_ < patience_timer_.expiry()) ArmPatience();
  }

  /// Whether another attempt would find a backend server and end in time.
  bool MayReplaceNow() {
    const TimePoint now = Clock::now();
    return WaitLimit() - now > state_.limits().min_attempt_time &&
           FitsBeforeShutdown(state_, plan_, now) &&
           HasReplacement(state_, plan_, inbound_, tried_, attempt_.backend->entry.id);
  }

  /// The attempt has its usual patience again.
  void OnReachable() {
    attempt_.unreachable_since.reset();
    WatchReachability();
    SetPatience(attempt_.patience_end);
  }

  void WatchReachability() {
    unanswered_ticket_.reset();
    state_.unanswered_attempts().Add(unanswered_ticket_, attempt_.backend->entry.id,
                                     [this] { OnUnreachable(); });
  }

  void OnUnreachable() {
    attempt_.unreachable_since = Clock::now();
    SetPatience(Clock::now());
  }

  /// While the backend server is not waited for.
  void PausePatience() { SetPatience(TimePoint::max()); }

  /// The timer would keep the exchange alive.
  void EndPatience() {
    PausePatience();
    patience_timer_.cancel();
    patience_pending_ = false;
  }

  void ArmPatience() {
    patience_timer_.expires_at(patience_end_);
    patience_pending_ = true;
    patience_timer_.async_wait([self = this->shared_from_this()](const ErrorCode& error) {
      if (error) return;
      self->patience_pending_ = false;
      if (self->patience_end_ == TimePoint::max()) return;
      if (Clock::now() < self->patience_end_) return self->ArmPatience();
      Spawn(self->state_.executor(), "attempt replacement", self->ReplaceAttempt(self));
    });
  }

  /// Cancels the attempt if another one may start; it goes on otherwise. Without a replacement, to
  /// give up would only lose what the backend server is working on.
  net::awaitable<void> ReplaceAttempt(std::shared_ptr<Exchange> /*self*/) {
    const std::uint32_t attempt = retry_input_.sends;
    const auto is_waiting = [&] {
      return retry_input_.sends == attempt && attempt_.connection && Clock::now() >= patience_end_;
    };
    if (!is_waiting()) co_return;
    if (attempt_.unreachable_since && attempt_.backend->reachable) OnReachable();
    if (!is_waiting()) co_return;
    std::optional<RetryReservation> retry;
    const bool arrives = attempt_.connection->HasUnreadInput();
    if (!arrives && MayReplaceNow() && state_.RetriesLeft(plan_.service, Clock::now()) >= 1) {
      retry = co_await state_.ReserveRetry(plan_.service, WaitLimit());
    }
    if (!is_waiting()) co_return;
    if (attempt_.connection->HasUnreadInput()) {
      SetPatience(Clock::now() + kArrivalTime);
      co_return;
    }
    // Reserving may take a while.
    if (retry && !MayReplaceNow()) retry.reset();
    const auto& since = attempt_.unreachable_since;
    if (since && (retry || Clock::now() - *since >= kMaxUnreachableTime)) {
      KeepRetry(std::move(retry));
      CancelAttempt(ResultCode::kBackendUnreachable);
      co_return;
    }
    if (!retry) {
      if (!std::exchange(record_.outlasted_patience, true)) {
        state_.metrics().GetCounter("ridgehold_attempts_without_replacement").Add();
      }
      replacement_denied_until_ = Clock::now() + kReplacementInterval;
      SetPatience(replacement_denied_until_);
      co_return;
    }
    KeepRetry(std::move(retry));
    attempt_.replaced = true;
    attempt_.connection->Cancel();
  }

  void KeepRetry(std::optional<RetryReservation> retry) {
    retry_ = std::move(retry);
    retry_reserved_at_ = Clock::now();
  }

  /// Reads response heads until one belongs to this request; responses to other requests are
  /// skipped.
  net::awaitable<AttemptOutcome> ReadResponse() {
    relay_.StartAttempt();
    timing_.StartAttempt();
    for (int foreign = 0; foreign <= OutboundConnection::kMaxStaleResponses; ++foreign) {
      attempt_.patience_end = HeadPatience(state_, plan_, retry_input_, Clock::now());
      SetPatience(attempt_.patience_end);
      ExchangeFault fault = co_await attempt_.connection->ReadHead(plan_.answer_by);
      PausePatience();
      if (fault != ExchangeFault::kNone) co_return OutcomeOf(fault);
      attempt_.head = Wire::ReadAnswerHead(attempt_.connection->head());
      if (attempt_.head.request == inbound_.id) co_return co_await ReadOwnResponse();
      if (!IsStaleAnswer(attempt_.head)) break;
      std::string skipped;
      const auto may_hold = [this](std::size_t bytes) { return MayBuffer(bytes); };
      fault = co_await attempt_.connection->ReadWholeBody(skipped, may_hold, plan_.answer_by);
      if (fault != ExchangeFault::kNone) co_return OutcomeOf(fault);
    }
    last_code_ = ResultCode::kForeignAnswer;
    attempt_.connection->Cancel();
    co_return AttemptOutcome::kInterrupted;
  }

  net::awaitable<AttemptOutcome> ReadOwnResponse() {
    if (record_.via_peer.empty()) state_.RecordContact();
    ApplyAnswerHead(state_, *attempt_.backend, inbound_, attempt_.head, attempt_.sent);
    attempt_.caller_head = Wire::MakeCallerHead(attempt_.connection->head());
    attempt_.stated_length = std::string(attempt_.connection->head()[http::field::content_length]);
    record_.ends_with_connection = attempt_.connection->EndsWithConnection();
    if (!IsAcceptable(attempt_.head)) {
      last_code_ = ResultCode::kForeignAnswer;
      attempt_.connection->Cancel();
      co_return AttemptOutcome::kInterrupted;
    }
    if (!attempt_.head.event_stream) {
      queued_ticket_.reset();
      unanswered_ticket_.reset();
    }
    const bool streams = plan_.route->kind == RouteKind::kStream && attempt_.head.event_stream &&
                         IsSuccess(attempt_.head.status) &&
                         caller_->head().method() != http::verb::head;
    if (streams) co_return co_await RelayStream();
    ReserveBody();
    const auto may_hold = [this](std::size_t bytes) { return MayBuffer(bytes); };
    const ExchangeFault fault =
        co_await attempt_.connection->ReadWholeBody(attempt_.body, may_hold, plan_.answer_by);
    if (fault != ExchangeFault::kNone) co_return OutcomeOf(fault);
    const bool complete = co_await ConfirmEnd();
    co_return complete ? AttemptOutcome::kAnswered : OutcomeOf(ExchangeFault::kBroken);
  }

  /// Whether the server's process has ended the response, and not its kernel when it was killed.
  /// Only the end of a response that ends with its connection waits for this.
  net::awaitable<bool> ConfirmEnd() {
    use_.reset();
    if (!record_.ends_with_connection || StatesNotRun()) co_return true;
    // Longer than a sound server may be silent.
    constexpr std::chrono::milliseconds kTimeout{2'000};
    // A stream may go on past its deadline; one query is always sent.
    constexpr std::chrono::milliseconds kMinTimeout{250};
    const TimePoint now = Clock::now();
    const TimePoint deadline =
        std::max<TimePoint>(std::min<TimePoint>(now + kTimeout, WaitLimit()), now + kMinTimeout);
    EndedResponse response;
    response.backend = attempt_.backend;
    response.writer =
        record_.server_start != StartStamp() ? record_.server_start : attempt_.answering_start;
    response.sent = attempt_.sent;
    record_.end_verdict = co_await QueryEnd<Wire>(state_, std::move(response), deadline);
    co_return record_.end_verdict == EndVerdict::kComplete;
  }

  /// Whether the response's head states that the request has not run, whatever its body says.
  bool StatesNotRun() const {
    constexpr int kMisdirected = 421;
    return attempt_.head.not_executed || attempt_.head.status == kMisdirected;
  }

  /// A large body that grows would take up to three times its bytes for a moment. Memory that is
  /// reserved takes none until it is written to, whatever length the server states.
  void ReserveBody() {
    constexpr std::size_t kLargeBytes = std::size_t{64} << 10;
    const std::string& text = attempt_.stated_length;
    std::size_t bytes = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), bytes);
    const bool large = parsed.ec == std::errc() && bytes > kLargeBytes;
    if (large && bytes <= state_.limits().max_response_bytes) attempt_.body.reserve(bytes);
  }

  /// Whether the exchange may hold so many bytes of a response.
  bool MayBuffer(std::size_t bytes) {
    return bytes <= state_.limits().max_response_bytes && buffered_.Resize(bytes);
  }

  net::awaitable<AttemptOutcome> RelayStream() {
    std::string bytes;
    TimePoint patience =
        relay_.any_forwarded() ? EventPatience(retry_input_, Clock::now()) : TimePoint::max();
    while (!attempt_.connection->BodyDone()) {
      bytes.clear();
      SetPatience(patience);
      const ExchangeFault fault = co_await attempt_.connection->ReadBody(bytes, plan_.answer_by);
      PausePatience();
      const std::string events = relay_.Feed(bytes);
      if (!events.empty()) {
        RecordEvents(Clock::now());
        if (attempt_.begun && Clock::now() - *attempt_.begun >= PoisonGuard::kSurvivalTime) {
          RecordSurvival(*attempt_.begun, Clock::now());
        }
        const bool forwarded = co_await Forward(events);
        timing_.RecordDelivery(Clock::now());
        if (!forwarded) co_return AttemptOutcome::kCallerGone;
        // Bytes that make no event do not count.
        patience = EventPatience(retry_input_, Clock::now());
      }
      // Checked once the events are forwarded: the next attempt resumes after them.
      if (relay_.failed() || !MayBuffer(relay_.buffered_bytes())) {
        last_code_ = ResultCode::kBackendBroken;
        co_return AttemptOutcome::kInterrupted;
      }
      if (fault != ExchangeFault::kNone) co_return OutcomeOf(fault);
    }
    const bool nothing_came =
        record_.ends_with_connection && !relay_.last_event() && !relay_.any_forwarded();
    if (relay_.incomplete() || nothing_came) co_return OutcomeOf(ExchangeFault::kBroken);
    const bool complete = co_await ConfirmEnd();
    if (!complete) co_return OutcomeOf(ExchangeFault::kBroken);
    const bool started = co_await BeginResponse();
    if (!started) co_return AttemptOutcome::kCallerGone;
    co_await caller_->EndStream();
    co_return AttemptOutcome::kStreamed;
  }

  /// Records the arrival of events that are new to the caller.
  void RecordEvents(TimePoint now) {
    const std::optional<Duration> pause = timing_.RecordArrival(now);
    if (!pause || !plan_.group || !state_.UsesPerformance(plan_.service)) return;
    state_.RecordPause(*attempt_.backend, *plan_.group, *pause);
  }

  /// Determines whether a stream that has begun kept its route's objectives.
  void RecordPunctuality() {
    if (!record_.first_event) return;
    const auto first_event =
        std::chrono::duration_cast<Duration>(*record_.first_event - record_.received);
    record_.longest_pause = timing_.longest_pause();
    record_.punctuality = PunctualityOf(first_event, plan_.route->latency_objective,
                                        record_.longest_pause, plan_.route->pause_objective);
  }

  /// Time-outs tell of the callers' limits.
  void RecordServiceTime() {
    if (record_.code != ResultCode::kOk || !IsSuccess(record_.status)) return;
    const Duration time = std::chrono::duration_cast<Duration>(Clock::now() - record_.received);
    state_.service_times().Record(plan_.route->id, time);
  }

  net::awaitable<bool> Forward(std::string events) {
    OnPrefilled();
    const bool started = co_await BeginResponse();
    if (!started) co_return false;
    co_return co_await caller_->WriteChunk(std::move(events));
  }

  /// Sends the response head once; a resumed stream keeps the first one.
  net::awaitable<bool> BeginResponse() {
    if (std::exchange(response_started_, true)) co_return true;
    retry_input_.stream_begun = true;
    record_.status = attempt_.head.status;
    record_.first_event = Clock::now();
    if (IsResumable()) FixRelease(*record_.first_event);
    co_return co_await caller_->BeginStream(attempt_.caller_head, EndsConnection());
  }

  /// The stream goes on at this release only, in this response and over the client's attempts. The
  /// other gateways are told before the client has an event to resume after.
  void FixRelease(TimePoint now) {
    plan_.release = record_.release;
    state_.RecordOrigin(inbound_.id, record_.workspace, plan_.service, record_.release);
    // The client goes on naming the attempt that brought its first event.
    if (inbound_.resume_after) {
      state_.RecordOrigin(inbound_.resumes, record_.workspace, plan_.service, record_.release);
    }
    const bool registered = record_.release == attempt_.backend->entry.release;
    const bool resumable = registered && HasAnotherOfRelease(state_, *attempt_.backend, now);
    if (!resumable) load_->MarkUnrepeatable();
  }

  /// Records that the engine has completed prefill, as shown by its first event.
  void OnPrefilled() {
    if (std::exchange(attempt_.prefilled, true)) return;
    attempt_.begun = Clock::now();
    load_->OnFirstEvent(Clock::now());
    RecordFirstEvent();
  }

  /// The first event shows that the engine has started the request. Newer weights may have been
  /// announced while it was queued there.
  void RecordFirstEvent() {
    queued_ticket_.reset();
    unanswered_ticket_.reset();
    const auto weights = attempt_.head.weights ? attempt_.head.weights : attempt_.expected_weights;
    const auto use = OlderWeightsAt(state_, inbound_, weights, Clock::now());
    if (!use) return;
    if (!record_.older_weights) {
      record_.older_weights = use;
      record_.older_weights->age_when_sent = Duration::zero();
    }
    record_.older_weights->age_when_begun = use->age_when_sent;
  }

  /// Deadline for the start of the response.
  TimePoint WaitLimit() const {
    return response_started_ ? plan_.answer_by
                             : std::min(plan_.answer_by, state_.response_deadline());
  }

  AttemptOutcome OutcomeOf(ExchangeFault fault) {
    attempt_.broken = fault == ExchangeFault::kBroken;
    switch (fault) {
      case ExchangeFault::kNotSent:
        last_code_ = ResultCode::kBackendUnreachable;
        return AttemptOutcome::kNotSent;
      case ExchangeFault::kTimedOut:
        last_code_ = ResultCode::kBackendTimeout;
        return AttemptOutcome::kTimedOut;
      case ExchangeFault::kCancelled:
        if (caller_->caller_gone()) return AttemptOutcome::kCallerGone;
        if (attempt_.replaced) {
          last_code_ = ResultCode::kBackendTimeout;
          return AttemptOutcome::kTimedOut;
        }
        if (attempt_.cancel_reason) {
          last_code_ = *attempt_.cancel_reason;
          return AttemptOutcome::kCancelled;
        }
        if (Clock::now() < WaitLimit()) break;
        last_code_ = ResultCode::kBackendTimeout;
        return AttemptOutcome::kTimedOut;
      case ExchangeFault::kNone:
      case ExchangeFault::kBroken:
        break;
    }
    last_code_ = ResultCode::kBackendBroken;
    return AttemptOutcome::kInterrupted;
  }

  net::awaitable<NextStep> DecideNextStep(AttemptOutcome outcome) {
    retry_input_.outcome = outcome;
    retry_input_.status = outcome == AttemptOutcome::kAnswered ? attempt_.head.status : 0;
    retry_input_.not_executed = outcome == AttemptOutcome::kAnswered && attempt_.head.not_executed;
    retry_input_.has_signature = attempt_.head.has_signature;
    if (outcome == AttemptOutcome::kAnswered) last_code_ = ResultCode::kBackendRefused;
    if (!ProvesNotExecuted(retry_input_)) {
      retry_input_.may_have_run = true;
      ++retry_input_.runs;
    }
    const TimePoint now = Clock::now();
    retry_input_.time_left = WaitLimit() - now > state_.limits().min_attempt_time;
    RecordOutcome(state_, inbound_, attempt_.backend, retry_input_, now);
    const bool answered = outcome == AttemptOutcome::kStreamed ||
                          (outcome == AttemptOutcome::kAnswered && IsSuccess(attempt_.head.status));
    if (answered) state_.directory().RecordAnswer(*attempt_.backend, attempt_.last_update);
    if (answered && record_.via_peer.empty()) {
      attempt_.backend->continuity.RecordAnswer(attempt_.opened, attempt_.sent);
    }
    UpdatePoisonGuard(outcome, now);
    tried_.insert(attempt_.backend->entry.id);
    NextStep step = caller_->caller_gone() ? NextStep::kDone : DecideNext(retry_input_);
    if (step == NextStep::kRetry && Quarantined()) step = StepWhenQuarantined();
    const bool arrived = outcome != AttemptOutcome::kNotSent && outcome != AttemptOutcome::kSkipped;
    bool in_budget = !record_.retry_budget_exhausted;
    if (step == NextStep::kRetry && arrived && !retry_) in_budget = co_await ReserveRetry();
    if (step == NextStep::kRetry && !in_budget) step = StepWithoutRetry(retry_input_);
    if (step != NextStep::kRetry) retry_.reset();
    if (step != NextStep::kDone && step != NextStep::kDeliver) {
      LogAttempt(state_, record_, *attempt_.backend, retry_input_, last_code_, step);
    }
    co_return step;
  }

  /// A complete response shows that the request did not crash the backend server. An unresponsive
  /// server may later be found to have crashed.
  void UpdatePoisonGuard(AttemptOutcome outcome, TimePoint now) {
    const bool unreachable = attempt_.cancel_reason == ResultCode::kBackendUnreachable;
    if (outcome == AttemptOutcome::kTimedOut || unreachable) {
      state_.poison().RecordInterruption(*attempt_.backend, plan_.features, attempt_.survived, now);
    }
    const bool completed =
        outcome == AttemptOutcome::kStreamed ||
        (outcome == AttemptOutcome::kAnswered && !ProvesNotExecuted(retry_input_));
    if (!completed) return;
    state_.poison().RecordCompletion(plan_.features.content, now);
    if (IsSuccess(attempt_.head.status)) RecordSurvival(attempt_.begun.value_or(now), now);
  }

  net::awaitable<void> Finish(NextStep step) {
    switch (step) {
      case NextStep::kDone:
      case NextStep::kRetry:
        record_.code = caller_->caller_gone() ? ResultCode::kCallerGone : ResultCode::kOk;
        break;
      case NextStep::kDeliver:
        co_await Deliver();
        break;
      case NextStep::kReject:
        co_await RefuseWith(NotRunCode(last_code_, retry_input_), RetryAfterRejection());
        break;
      case NextStep::kFail:
        co_await RefuseWith(MayHaveRunCode(last_code_), kDefaultRetryAfter);
        break;
      case NextStep::kAbortStream:
        record_.code =
            last_code_ == ResultCode::kPoisonRequest ? last_code_ : ResultCode::kStreamLost;
        caller_->Abort();
        break;
    }
  }

  /// Paths to backend servers do not come back within a fraction of an objective.
  std::chrono::milliseconds RetryAfterRejection() const {
    constexpr std::chrono::milliseconds kIsolatedRetryAfter{1'000};
    const auto usual = search_.RetryAfter();
    if (last_code_ == ResultCode::kReleaseGone) return std::max(usual, kResumptionRetryAfter);
    return state_.IsIsolated(Clock::now()) ? std::max(usual, kIsolatedRetryAfter) : usual;
  }

  /// During a shutdown, requests that the client has already sent are answered first.
  bool EndsConnection() const {
    if (!state_.shutting_down()) return false;
    return state_.rejecting_new() || !caller_->HasNextRequest();
  }

  net::awaitable<void> Deliver() {
    record_.code = ResultCode::kOk;
    record_.status = attempt_.head.status;
    ResponseMessage response(std::move(attempt_.caller_head), std::move(attempt_.body));
    const bool no_content = response.result() == http::status::no_content ||
                            response.result() == http::status::not_modified;
    // What a response without a body states is the length of the one that it stands for.
    if (caller_->request().method() != http::verb::head && !no_content) {
      response.prepare_payload();
    } else if (!attempt_.stated_length.empty() && response.result() != http::status::no_content) {
      response.set(http::field::content_length, attempt_.stated_length);
    }
    response_sent_ = true;
    co_await caller_->Send(std::move(response), EndsConnection());
  }

  // g++ 12 destroys braced temporaries in co_await arguments twice, so arguments are plain or named
  // objects.
  net::awaitable<void> RefuseWith(ResultCode code, std::chrono::milliseconds retry_after) {
    Failure failure;
    failure.code = code;
    co_await Refuse(std::move(failure), retry_after);
  }

  net::awaitable<void> Refuse(Failure failure, std::chrono::milliseconds retry_after) {
    record_.code = failure.code;
    ResponseMessage response = MakeErrorResponse(failure, inbound_.id, retry_after);
    record_.status = static_cast<int>(response.result_int());
    record_.detail = failure.detail;
    response_sent_ = true;
    co_await caller_->Send(std::move(response), EndsConnection());
  }

  /// A call that may not be executed again is left to complete.
  void OnCallerGone() {
    const bool may_cancel = plan_.route->kind != RouteKind::kUnsafe;
    if (may_cancel && attempt_.connection) attempt_.connection->Cancel();
  }

  /// The tickets and loads below refer to the state when they are destroyed.
  std::shared_ptr<GatewayState> state_owner_;
  GatewayState& state_;
  std::shared_ptr<CallerConnection> caller_;
  InboundRequest inbound_;
  ExchangePlan plan_;
  EventRelay relay_;
  ByteBudget::Share buffered_;
  StreamTiming timing_;
  RetryDecisionInput retry_input_;
  std::optional<RetryReservation> retry_;  ///< of an attempt that is not sent yet
  TimePoint retry_reserved_at_{};
  Timer patience_timer_;
  TimePoint patience_end_ = TimePoint::max();  ///< of the current attempt
  TimePoint replacement_denied_until_{};
  bool patience_pending_ = false;  ///< the timer runs
  Attempt attempt_;
  std::optional<BackendLoad> load_;
  std::optional<ConnectionUse> use_;  ///< until the response has ended
  std::optional<QueuedAttempts::Ticket> queued_ticket_;
  std::optional<UnansweredAttempts::Ticket> unanswered_ticket_;
  std::optional<PoisonGuard::Ticket> poison_ticket_;
  std::set<BackendId> tried_;
  ResultCode last_code_ = ResultCode::kNoBackend;
  RequestRecord record_;
  bool response_started_ = false;  ///< of a stream
  bool response_sent_ = false;     ///< of anything else
  bool is_trial_ = false;  ///< the next attempt is permitted although the request is quarantined
  BackendSearch search_;
};

}  // namespace ridgehold
