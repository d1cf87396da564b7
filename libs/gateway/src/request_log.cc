#include "gateway/request_log.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <span>
#include <string_view>

#include "gateway/gateway_state.h"
#include "log/duration_text.h"
#include "log/log.h"

namespace ridgehold {
namespace {

std::string_view NameOf(AttemptOutcome end) {
  switch (end) {
    case AttemptOutcome::kStreamed:
      return "streamed";
    case AttemptOutcome::kAnswered:
      return "answered";
    case AttemptOutcome::kNotSent:
      return "not_sent";
    case AttemptOutcome::kInterrupted:
      return "broken";
    case AttemptOutcome::kTimedOut:
      return "timed_out";
    case AttemptOutcome::kCallerGone:
      return "caller_gone";
    case AttemptOutcome::kSkipped:
      return "skipped";
    case AttemptOutcome::kCancelled:
      return "withdrawn";
  }
  return "unknown";
}

std::string_view NameOf(NextStep step) {
  switch (step) {
    case NextStep::kDone:
      return "done";
    case NextStep::kDeliver:
      return "deliver";
    case NextStep::kRetry:
      return "try_again";
    case NextStep::kReject:
      return "refuse_not_run";
    case NextStep::kFail:
      return "fail_may_have_run";
    case NextStep::kAbortStream:
      return "break_off";
  }
  return "unknown";
}

std::string ConfigVersionOf(const GatewayState& state) {
  return state.snapshot() ? std::to_string(state.snapshot()->version().value()) : "none";
}

std::string_view NameOf(QuotaVerdict verdict) {
  switch (verdict) {
    case QuotaVerdict::kGranted:
      return "granted";
    case QuotaVerdict::kOverQuota:
      return "over_quota";
    case QuotaVerdict::kTooLarge:
      return "over_burst";
    case QuotaVerdict::kNotHolder:
      break;
  }
  return "no_answer";
}

std::string_view NameOf(StreamPunctuality punctuality) {
  switch (punctuality) {
    case StreamPunctuality::kOnTime:
      return "no";
    case StreamPunctuality::kLateFirstEvent:
      return "first_event";
    case StreamPunctuality::kLatePause:
      return "pause";
  }
  return "unknown";
}

std::string_view StreamEndOf(StreamPunctuality punctuality) {
  switch (punctuality) {
    case StreamPunctuality::kOnTime:
      return "on_time";
    case StreamPunctuality::kLateFirstEvent:
      return "late_first_event";
    case StreamPunctuality::kLatePause:
      return "late_pause";
  }
  return "unknown";
}

// Maximum number of parts in a log line; a prompt may have hundreds.
constexpr std::size_t kMaxLoggedParts = 16;

std::string ListOf(std::span<const std::uint64_t> parts) {
  return fmt::format("{:x}", fmt::join(parts.first(std::min(parts.size(), kMaxLoggedParts)), ","));
}

/// Streams that broke off or lost their caller are not counted: their later events are not known.
void AppendStream(Metrics& metrics, const RequestRecord& record, LogFields& fields) {
  fields.push_back({"longest_pause_ms", MillisecondsText(record.longest_pause)});
  fields.push_back({"late", std::string(NameOf(*record.punctuality))});
  if (record.code != ResultCode::kOk) return;
  const std::string end(StreamEndOf(*record.punctuality));
  metrics.GetCounter("ridgehold_streams", "end=\"" + end + "\"").Add();
}

void AppendQuota(Metrics& metrics, const RequestRecord& record, LogFields& fields) {
  const std::string verdict(NameOf(record.quota->verdict));
  metrics.GetCounter("ridgehold_quota_requests", "verdict=\"" + verdict + "\"").Add();
  fields.push_back({"quota", verdict});
  fields.push_back({"quota_tokens", std::to_string(record.quota_tokens)});
  fields.push_back({"quota_holder", record.quota->ticket.holder});
  fields.push_back({"quota_ms", MillisecondsText(record.quota_latency)});
  fields.push_back({"quota_asked", std::to_string(record.quota->messages_sent)});
  if (record.quota->retry_after == Duration::zero()) return;
  fields.push_back({"quota_fits_in_ms", MillisecondsText(record.quota->retry_after)});
}

void AppendOrigin(const OriginFinding& origin, LogFields& fields) {
  const OriginEvidence& evidence = origin.evidence;
  fields.push_back({"origin", std::string(NameOf(origin.source))});
  fields.push_back({"origin_asked", std::to_string(evidence.asked)});
  fields.push_back({"origin_answered", std::to_string(evidence.answered)});
  fields.push_back({"known_releases", std::to_string(evidence.releases)});
  fields.push_back({"releases_complete", evidence.complete ? "yes" : "no"});
}

void AppendOrder(const RequestRecord& record, LogFields& fields) {
  fields.push_back({"urgency", std::string(ToString(record.order->urgency))});
  fields.push_back({"over_share", record.order->over_share ? "yes" : "no"});
  fields.push_back({"forecast_ms", MillisecondsText(record.forecast)});
}

void AppendOlderWeights(GatewayState& state, const OlderWeightsUse& use, LogFields& fields) {
  fields.push_back({"weights", std::to_string(use.weights.value())});
  fields.push_back({"newer", std::to_string(use.newer.value())});
  fields.push_back({"newer_age_sent_ms", MillisecondsText(use.age_when_sent)});
  fields.push_back({"newer_age_is", use.assumed ? "assumed" : "known"});
  if (use.age_when_begun == Duration::zero()) return;
  fields.push_back({"newer_age_begun_ms", MillisecondsText(use.age_when_begun)});
  state.metrics()
      .GetSummary("ridgehold_begun_on_older_weights_seconds")
      .Observe(std::chrono::duration<double>(use.age_when_begun).count());
  const bool late = use.age_when_begun >= state.limits().older_weights;
  if (late) state.metrics().GetCounter("ridgehold_begun_on_weights_past_limit").Add();
}

void AppendNotice(const RequestRecord& record, LogFields& fields) {
  if (record.permits_refused > 0) {
    fields.push_back({"permits_refused", std::to_string(record.permits_refused)});
  }
  if (record.permit.verdict != PermitVerdict::kNotNeeded) {
    fields.push_back({"permit", std::string(NameOf(record.permit.verdict))});
    fields.push_back({"permit_ms", MillisecondsText(record.permit.took)});
    if (record.permit.ticket) fields.push_back({"permit_from", record.permit.ticket->holder});
  }
  if (!record.backend_notice) return;
  const NoticeRecord& notice = *record.backend_notice;
  if (notice.limit) fields.push_back({"limit", fmt::format("{:.3f}", notice.limit->per_second())});
  if (notice.leaving) fields.push_back({"leaving", "yes"});
  if (notice.cool_down_left > Duration::zero()) {
    fields.push_back({"rest_left_ms", MillisecondsText(notice.cool_down_left)});
  }
  fields.push_back({"notice_age_ms", MillisecondsText(notice.age)});
}

/// What tells a response that was cut off from a whole one, and a process from its successor.
void AppendProcess(const RequestRecord& record, LogFields& fields) {
  if (record.registered_start != StartStamp()) {
    fields.push_back({"registered_start", std::to_string(record.registered_start.value())});
  }
  if (record.server_start != StartStamp()) {
    fields.push_back({"server_start", std::to_string(record.server_start.value())});
  }
  if (record.ends_with_connection) fields.push_back({"ends_with_connection", "yes"});
  if (record.half_closed) fields.push_back({"half_closed", "yes"});
  if (record.end_verdict)
    fields.push_back({"answer_end", std::string(NameOf(*record.end_verdict))});
}

}  // namespace

std::optional<NoticeRecord> NoticeRecordOf(const Backend& backend, TimePoint now) {
  const PushbackState& received = backend.notice_state;
  const auto cool_down = std::chrono::duration_cast<Duration>(received.backoff_until() - now);
  const NoticeRecord notice{
      received.limit(), received.leaving(), std::max(Duration::zero(), cool_down),
      std::chrono::duration_cast<Duration>(now - received.last_response_at())};
  const bool nothing =
      !notice.limit && !notice.leaving && notice.cool_down_left == Duration::zero();
  return nothing ? std::nullopt : std::optional(notice);
}

void LogRequest(GatewayState& state, const RequestRecord& record) {
  const std::string code(Describe(record.code).name);
  Metrics& metrics = state.metrics();
  metrics.GetCounter("ridgehold_requests", "code=\"" + code + "\"").Add();
  metrics.GetCounter("ridgehold_tries").Add(record.attempts);
  const TimePoint now = Clock::now();
  const double seconds = std::chrono::duration<double>(now - record.received).count();
  metrics.GetSummary("ridgehold_request_seconds").Observe(seconds);
  if (record.first_event) {
    metrics.GetSummary("ridgehold_first_token_seconds")
        .Observe(std::chrono::duration<double>(*record.first_event - record.received).count());
  }
  LogFields fields = {{"request", record.request.value()},
                      {"code", code},
                      {"status", std::to_string(record.status)},
                      {"ms", MillisecondsText(now - record.received)},
                      {"attempts", std::to_string(record.attempts)},
                      {"backend", record.backend.value()},
                      {"release", record.release.value()},
                      {"route", record.route.value()},
                      {"workspace", record.workspace.value()},
                      {"fingerprint", ToText(record.fingerprint)},
                      {"expected_ms", std::to_string(std::lround(record.expected_ms))},
                      {"wait_ms", std::to_string(std::lround(record.first_event_ms))},
                      {"to_read", std::to_string(std::lround(record.tokens_to_prefill))},
                      {"running_there", std::to_string(record.running_at_backend)},
                      {"config", ConfigVersionOf(state)},
                      {"config_age_ms", MillisecondsText(now - state.confirmed_at())}};
  if (record.poll.asked > 0) {
    fields.push_back({"asked", std::to_string(record.poll.asked)});
    fields.push_back({"answered", std::to_string(record.poll.answered)});
    fields.push_back({"asking_ms", MillisecondsText(record.poll.took)});
    if (record.poll.group) {
      const bool bulk = record.poll.group == RequestGroup::kBulk;
      fields.push_back({"group", bulk ? "bulk" : "interactive"});
      fields.push_back({"left_group", record.poll.left_group ? "yes" : "no"});
    }
    metrics.GetSummary("ridgehold_asking_seconds")
        .Observe(std::chrono::duration<double>(record.poll.took).count());
  }
  if (record.first_event) {
    fields.push_back({"first_event_ms", MillisecondsText(*record.first_event - record.received)});
  }
  if (record.punctuality) AppendStream(metrics, record, fields);
  if (record.slowness) fields.push_back({"slowness", fmt::format("{:.2f}", *record.slowness)});
  if (record.shared_parts != 0) {
    fields.push_back({"shared_parts", fmt::format("{:x}", record.shared_parts)});
    fields.push_back({"shared", std::to_string(record.shared_tokens)});
    fields.push_back({"known", std::to_string(record.known_tokens)});
  }
  if (record.deferred > Duration::zero()) {
    fields.push_back({"deferred_ms", MillisecondsText(record.deferred)});
    metrics.GetSummary("ridgehold_deferred_seconds")
        .Observe(std::chrono::duration<double>(record.deferred).count());
  }
  if (record.crash_proof_wait > Duration::zero()) {
    fields.push_back({"crash_proof_wait_ms", MillisecondsText(record.crash_proof_wait)});
    metrics.GetSummary("ridgehold_crash_proof_wait_seconds")
        .Observe(std::chrono::duration<double>(record.crash_proof_wait).count());
  }
  if (record.quarantined_by) {
    fields.push_back({"quarantined_by", ToText(*record.quarantined_by)});
    fields.push_back({"parts", ListOf(record.part_ids)});
  }
  if (record.order) AppendOrder(record, fields);
  if (record.memory) {
    fields.push_back({"memory_held", std::to_string(record.memory->held)});
    fields.push_back({"fits", record.memory->fits ? "yes" : "no"});
  }
  if (record.quota) AppendQuota(metrics, record, fields);
  if (!record.via_peer.empty()) fields.push_back({"via", record.via_peer});
  if (record.origin) AppendOrigin(*record.origin, fields);
  if (!record.resumes.value().empty()) {
    constexpr std::size_t kMaxLoggedId = 64;  // bytes; clients may send any
    fields.push_back({"resumes", record.resumes.value().substr(0, kMaxLoggedId)});
  }
  if (!record.cache_scope.empty()) fields.push_back({"cache_scope", record.cache_scope});
  if (!record.fetched_from.empty()) fields.push_back({"fetch", record.fetched_from});
  if (record.older_weights) AppendOlderWeights(state, *record.older_weights, fields);
  AppendProcess(record, fields);
  AppendNotice(record, fields);
  if (record.retry_budget_exhausted) fields.push_back({"retry_budget", "spent"});
  if (record.outlasted_patience) fields.push_back({"replacement", "none"});
  if (record.retry_delay > Duration::zero()) {
    fields.push_back({"retry_delay_ms", MillisecondsText(record.retry_delay)});
  }
  if (!record.detail.empty()) fields.push_back({"detail", record.detail});
  Log(LogLevel::kInfo, "request", fields);
}

void LogAttempt(GatewayState& state, const RequestRecord& record, const Backend& backend,
                const RetryDecisionInput& facts, ResultCode code, NextStep step) {
  state.metrics()
      .GetCounter("ridgehold_attempts_failed", "code=\"" + std::string(Describe(code).name) + "\"")
      .Add();
  const TimePoint now = Clock::now();
  const double retries_left = state.RetriesLeft(record.service, now);
  LogFields fields = {{"request", record.request.value()},
                      {"fingerprint", ToText(record.fingerprint)},
                      {"backend", backend.entry.id.value()},
                      {"release", record.release.value()},
                      {"address", backend.entry.address},
                      {"zone", backend.entry.zone.value()},
                      {"reachable", backend.reachable ? "yes" : "no"},
                      {"number", std::to_string(record.attempts)},
                      {"end", std::string(NameOf(facts.outcome))},
                      {"status", std::to_string(facts.status)},
                      {"not_executed", facts.not_executed ? "yes" : "no"},
                      {"code", std::string(Describe(code).name)},
                      {"answer_begun", record.answer_begun ? "yes" : "no"},
                      {"in_flight", std::to_string(backend.in_flight)},
                      {"retries_left", fmt::format("{:.1f}", retries_left)},
                      {"retry_standing", ToText(state.RetryStandingAt(now))},
                      {"retry_sharers", std::to_string(state.retries().Sharers(now))},
                      {"next", std::string(NameOf(step))}};
  if (!record.part_ids.empty()) fields.push_back({"parts", ListOf(record.part_ids)});
  if (!record.response_fault.empty()) {
    fields.push_back({"response_fault", std::string(record.response_fault)});
  }
  if (!record.via_peer.empty()) fields.push_back({"via", record.via_peer});
  AppendProcess(record, fields);
  AppendNotice(record, fields);
  Log(LogLevel::kWarn, "attempt", fields);
}

}  // namespace ridgehold
