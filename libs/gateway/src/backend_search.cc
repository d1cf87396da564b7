#include "gateway/backend_search.h"

#include <utility>

#include "gateway/backend_permit.h"
#include "gateway/polled_choice.h"
#include "gateway/request_ordering.h"
#include "net/wait.h"

namespace ridgehold {

net::awaitable<std::optional<BackendChoice>> BackendSearch::Find(bool stream_begun) {
  stream_begun_ = stream_begun;
  const bool first_attempt = request_.record.attempts == 0;
  if (first_attempt) RecordArrival(state_, request_.plan, request_.inbound, Clock::now());
  std::optional<BackendChoice> choice;
  Outcome outcome = co_await TryOnce(choice);
  if (outcome == Outcome::kWait) outcome = co_await WaitForCapacity(choice);
  if (outcome == Outcome::kNone) choice.reset();
  if (choice && first_attempt) {
    RecordAdmission(state_, request_.plan, request_.inbound, request_.record, Clock::now());
  }
  co_return choice;
}

net::awaitable<BackendSearch::Outcome> BackendSearch::TryOnce(
    std::optional<BackendChoice>& choice) {
  for (int refused = 0; refused < kMaxPermitRefusals; ++refused) {
    choice = co_await ChooseAvoidingRateLimited();
    if (!choice) co_return HasCapacitySoon() ? Outcome::kWait : Outcome::kNone;
    if (!MaySend(*choice)) co_return Outcome::kWait;
    request_.record.permit = co_await AcquirePermit(state_, choice->backend);
    if (request_.record.permit.MaySend()) co_return Outcome::kFound;
    ++request_.record.permits_refused;
  }
  // The servers that refused are barred for other requests, too, so the next attempt needs few
  // queries.
  choice.reset();
  co_return Outcome::kWait;
}

net::awaitable<BackendSearch::Outcome> BackendSearch::WaitForCapacity(
    std::optional<BackendChoice>& choice) {
  const ExchangePlan& plan = request_.plan;
  const bool is_ordered = plan.order && !stream_begun_;
  DeferredRequests::Ticket ticket(state_.deferred_requests(), plan.priority.value_or(0),
                                  is_ordered && plan.order->over_share);
  std::optional<WaitForecast::Ticket> forecast_ticket;
  if (is_ordered) {
    WaitForecast& forecast = state_.priority().forecasts[plan.service];
    forecast_ticket.emplace(forecast, *plan.order, plan.received);
  }
  Timer timer(state_.executor());
  const TimePoint began = Clock::now();
  const auto pause = state_.queries_peers() ? DeferredRequests::kPeerPollInterval
                                            : DeferredRequests::kPollInterval;
  Outcome outcome = Outcome::kWait;
  while (outcome == Outcome::kWait && !request_.abandoned() &&
         Clock::now() + state_.limits().min_attempt_time < request_.wait_limit()) {
    co_await WaitFor(timer, pause);
    if (MayRetry(ticket, choice)) outcome = co_await TryOnce(choice);
  }
  request_.record.deferred = std::chrono::duration_cast<Duration>(Clock::now() - began);
  // At its deadline a request is sent even if the engine is full, but never without the permit that
  // the engine's rate limit requires.
  const bool demands_permit = !choice || choice->backend->notice_state.limit();
  if (outcome == Outcome::kWait) outcome = demands_permit ? Outcome::kNone : Outcome::kFound;
  co_return outcome;
}

net::awaitable<std::optional<BackendChoice>> BackendSearch::ChooseAvoidingRateLimited() {
  ExchangePlan& plan = request_.plan;
  plan.avoid_rate_limited = AvoidsRateLimited(state_, plan, Clock::now());
  std::optional<BackendChoice> choice = co_await Choose();
  const bool avoided = std::exchange(plan.avoid_rate_limited, false);
  if (avoided && !choice) choice = co_await Choose();
  co_return choice;
}

net::awaitable<std::optional<BackendChoice>> BackendSearch::Choose() {
  const auto& [plan, inbound, tried, record, abandoned, wait_limit] = request_;
  if (!state_.queries_peers()) co_return ChooseFor(state_, plan, inbound, tried, Clock::now());
  PolledChoice asked = co_await PollAndChoose(state_, plan, inbound, tried);
  record.poll = asked.poll;
  co_return std::move(asked.choice);
}

bool BackendSearch::MayRetry(DeferredRequests::Ticket& ticket,
                             const std::optional<BackendChoice>& choice) const {
  if (!choice) return ticket.MayPoll() || !HasCapacitySoon();
  const AdmissionQuery place = AdmissionQueryFor(request_.plan, *choice, Clock::now());
  if (!Admission::MeetsObjective(place)) ticket.MarkLate();
  return ticket.MayPoll() || AdmissionFor(state_, request_.plan).WaitExpired(place);
}

bool BackendSearch::MaySend(const BackendChoice& choice) const {
  if (!request_.plan.chain || stream_begun_) return true;
  const TimePoint now = Clock::now();
  const bool waits_for_room =
      !choice.fits && AdmissionFor(state_, request_.plan)
                          .WaitsForRoom(AdmissionQueryFor(request_.plan, choice, now));
  return !waits_for_room && IsAdmitted(state_, request_.plan, choice, now);
}

std::optional<TimePoint> BackendSearch::NextCapacity() const {
  return EarliestCapacity(state_, request_.plan, request_.inbound, request_.tried, Clock::now());
}

/// Whether waiting here is better than a retry by the caller, whose retries are few. The caller of
/// a stream that has begun cannot retry, but is still reading.
bool BackendSearch::HasCapacitySoon() const {
  const std::optional<TimePoint> capacity_at = NextCapacity();
  if (!capacity_at) return false;
  const ExchangePlan& plan = request_.plan;
  const TimePoint wait_limit_for_caller = plan.received + plan.route->latency_objective / 4;
  const TimePoint until = stream_begun_ ? plan.answer_by : wait_limit_for_caller;
  return *capacity_at < until && Clock::now() < until;
}

std::chrono::milliseconds BackendSearch::RetryAfter() const {
  const std::optional<TimePoint> capacity_at = NextCapacity();
  const TimePoint now = Clock::now();
  if (!capacity_at || *capacity_at <= now) return DefaultRetryAfter(request_.plan);
  return RetryAfterCapacity(request_.plan, request_.inbound, *capacity_at, now);
}

}  // namespace ridgehold
