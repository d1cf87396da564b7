#include "gateway/request_ordering.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string>

namespace ridgehold {
namespace {

std::uint64_t Hash(const std::string& text) { return XXH3_64bits(text.data(), text.size()); }

/// The tokens that a request counts for in its workspace's share.
double TokensOf(const InboundRequest& request) {
  return static_cast<double>(request.generation->prompt_tokens) +
         static_cast<double>(request.generation->max_output_tokens);
}

void CountRefusal(GatewayState& state, const RequestOrder& order) {
  const std::string urgency(ToString(order.urgency));
  state.metrics().GetCounter("ridgehold_refused_on_arrival", "urgency=\"" + urgency + "\"").Add();
}

/// Shares matter only while requests wait; otherwise capacity is left.
bool IsRestricted(GatewayState& state, const RequestOrder& order) {
  return order.over_share && state.deferred_requests().size() > 0;
}

}  // namespace

WorkspaceHash WorkspaceHashOf(const WorkspaceId& workspace) {
  return std::max<WorkspaceHash>(Hash(workspace.value()), 1);
}

WorkspaceHash WorkspaceHashOf(const ExchangePlan& plan) {
  return plan.workspace == nullptr ? 0 : WorkspaceHashOf(plan.workspace->id);
}

std::optional<RequestOrder> OrderOf(const GatewayState& state, const ExchangePlan& plan,
                                    TimePoint now) {
  const RouteRule& route = *plan.route;
  const bool is_ordered = plan.chain && route.kind == RouteKind::kStream &&
                          route.latency_objective.count() > 0 && state.OrdersRequests(plan.service);
  if (!is_ordered) return std::nullopt;
  RequestOrder order;
  order.urgency = UrgencyOf(route.latency_objective, plan.snapshot->ShortestObjective(plan.service),
                            plan.snapshot->LongestObjective(plan.service));
  order.over_share = state.priority().shares.IsOverShare(WorkspaceHashOf(plan), now);
  order.max_wait = MaxWait(route.latency_objective, route.pause_objective,
                           std::chrono::duration_cast<Duration>(plan.answer_by - plan.received));
  return order;
}

std::optional<std::chrono::milliseconds> RefuseOnArrival(GatewayState& state,
                                                         const ExchangePlan& plan,
                                                         const InboundRequest& request,
                                                         RequestRecord& record, TimePoint now) {
  if (!plan.order) return std::nullopt;
  record.order = plan.order;
  PriorityState& priority = state.priority();
  const std::uint64_t fingerprint = plan.features.content.value();
  const auto left = priority.refusals.TimeLeft(fingerprint, now);
  if (left) {
    CountRefusal(state, *plan.order);
    return left;
  }
  record.forecast = priority.forecasts[plan.service].ForecastFor(*plan.order, now);
  if (record.forecast <= plan.order->max_wait) return std::nullopt;
  RecordArrival(state, plan, request, now);
  CountRefusal(state, *plan.order);
  const auto retry_after =
      RetryAfterForecast(record.forecast, plan.route->latency_objective, Hash(request.id.value()));
  priority.refusals.Record(fingerprint, retry_after, now);
  return retry_after;
}

void RecordArrival(GatewayState& state, const ExchangePlan& plan, const InboundRequest& request,
                   TimePoint now) {
  if (!plan.order) return;
  state.priority().shares.RecordArrival(WorkspaceHashOf(plan), TokensOf(request), now);
}

void RecordAdmission(GatewayState& state, const ExchangePlan& plan, const InboundRequest& request,
                     const RequestRecord& record, TimePoint now) {
  if (!plan.order) return;
  const auto wait = std::chrono::duration_cast<Duration>(now - plan.received);
  const bool has_waited = record.deferred > Duration::zero();
  state.priority().forecasts[plan.service].RecordAdmitted(*plan.order, has_waited, wait, now);
  if (wait > plan.route->latency_objective) return;
  state.priority().shares.RecordInTime(TokensOf(request), now);
}

GroupMembership GroupMembershipOf(GatewayState& state, const Backend& backend) {
  const ServiceGroups* groups = state.EngineGroupsOf(backend.entry.service);
  if (groups == nullptr || groups->sizer.size() == 0) return GroupMembership::kNoGroup;
  return backend.in_interactive_group ? GroupMembership::kMember : GroupMembership::kNotMember;
}

Admission AdmissionFor(GatewayState& state, const ExchangePlan& plan) {
  AdmissionOptions options = state.limits().admission;
  if (plan.order) {
    const std::chrono::duration<double> max_wait = plan.order->max_wait;
    // A late answer is better than none: an engine that gets a late request still has time for it.
    options.max_wait_objectives =
        std::min(options.max_wait_objectives, max_wait / Duration(plan.route->latency_objective));
    const double factor = LoadLimits::FactorFor(IsRestricted(state, *plan.order));
    options.max_load_fraction *= factor;
    options.late_load_fraction *= factor;
  }
  return Admission{options};
}

bool IsAdmitted(GatewayState& state, const ExchangePlan& plan, const BackendChoice& choice,
                TimePoint now) {
  const AdmissionQuery query = AdmissionQueryFor(plan, choice, now);
  const Admission admission = AdmissionFor(state, plan);
  const bool waits_patiently = plan.order && plan.order->urgency == Urgency::kPatient;
  if (!waits_patiently || !state.limits().admission.enabled) return admission.MaySend(query);
  if (admission.WaitExpired(query)) return true;
  PatientLoad load;
  load.queued_work = query.queued_work;
  load.own_work = query.own_work;
  load.shortest_objective = query.capacity;
  load.objective = query.objective;
  load.membership = GroupMembershipOf(state, *choice.backend);
  load.over_share = IsRestricted(state, *plan.order);
  return LoadLimits::MaySendPatient(load);
}

}  // namespace ridgehold
