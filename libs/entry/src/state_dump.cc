#include "entry/state_dump.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "gateway/gateway_state.h"
#include "gateway/request_log.h"
#include "gateway/request_ordering.h"

namespace ridgehold {
namespace {

using nlohmann::json;

json Describe(GatewayState& state, const Backend& backend, TimePoint now) {
  const bool has_groups = state.EngineGroupsOf(backend.entry.service) != nullptr;
  return {{"id", backend.entry.id.value()},
          {"started", backend.entry.started.value()},
          {"service", backend.entry.service.value()},
          {"address", backend.entry.address},
          {"zone", backend.entry.zone.value()},
          {"in_interactive_group", has_groups && backend.in_interactive_group},
          {"draining", backend.entry.draining},
          {"missing", backend.grace_until.has_value()},
          {"in_flight", backend.in_flight},
          {"peers_running", backend.peers.running},
          {"memory_held", backend.memory_tokens + backend.peers.memory_tokens},
          {"failures", backend.failures},
          {"error_rate", backend.error_rate},
          {"slowness", backend.reported_performance.SlownessAt(now)},
          {"home_weight", backend.reported_performance.HomeWeightAt(now)},
          {"observed_slowness", backend.performance.slowness()}};
}

/// The shares of the configuration's workspaces that are known here, and the waiting requests.
json DescribePriority(const GatewayState& state, TimePoint now) {
  const WorkspaceShares& shares = state.priority().shares;
  json workspaces = json::array();
  for (const WorkspaceRule& workspace :
       state.snapshot() ? state.snapshot()->workspaces() : std::span<const WorkspaceRule>()) {
    const WorkspaceHash hash = WorkspaceHashOf(workspace.id);
    const auto share = shares.ShareOf(hash, now);
    if (!share) continue;
    workspaces.push_back({{"workspace", workspace.id.value()},
                          {"share", *share},
                          {"over_share", shares.IsOverShare(hash, now)}});
  }
  json waiting = json::object();
  for (const auto& [service, forecast] : state.priority().forecasts) {
    waiting[service.value()] = {{"urgent", forecast.Waiting(Urgency::kUrgent)},
                                {"patient", forecast.Waiting(Urgency::kPatient)}};
  }
  return {{"workspaces", workspaces},
          {"fair_share", shares.fair_level() ? json(*shares.fair_level()) : json()},
          {"capacity", shares.CapacityFraction(now)},
          {"waiting", waiting},
          {"refused_lately", state.priority().refusals.size()}};
}

json DescribeGroups(GatewayState& state) {
  json groups = json::array();
  for (const auto& [service, group] : state.engine_groups()) {
    if (state.EngineGroupsOf(service) == nullptr) continue;
    groups.push_back({{"service", service.value()},
                      {"size", group.sizer.size()},
                      {"demand",
                       {{"interactive_running", group.fleet_demand.interactive_running},
                        {"interactive_rate", group.fleet_demand.interactive_rate},
                        {"bulk_rate", group.fleet_demand.bulk_rate}}}});
  }
  return groups;
}

}  // namespace

std::string DumpState(GatewayState& state, const InstanceStatus& status, TimePoint now) {
  json backends = json::array();
  for (const auto& [id, backend] : state.directory().all()) {
    backends.push_back(Describe(state, *backend, now));
  }
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - state.confirmed_at());
  const json dump = {{"daemon", status.daemon.value()},
                     {"zone", state.zone().value()},
                     {"ready", status.ready},
                     {"shutting_down", state.shutting_down()},
                     {"config", state.snapshot() ? state.snapshot()->version().value() : 0},
                     {"config_age_ms", age.count()},
                     {"gateways", state.gateways()},
                     {"rollout_held", status.holds_rollout},
                     {"in_flight", state.in_flight()},
                     {"connections", status.connections},
                     {"priority", DescribePriority(state, now)},
                     {"settings", status.settings},
                     {"engine_groups", DescribeGroups(state)},
                     {"backends", backends}};
  return dump.dump(2, ' ', false, json::error_handler_t::replace);
}

std::string DumpQuotas(const GatewayState& state, const std::map<ZoneId, std::string>& holders,
                       std::span<const QuotaHolder::Usage> usages) {
  json quotas = json::array();
  const auto& snapshot = state.snapshot();
  for (const WorkspaceRule& workspace :
       snapshot ? snapshot->workspaces() : std::span<const WorkspaceRule>()) {
    if (!workspace.quota) continue;
    const WorkspaceQuota& quota = *workspace.quota;
    quotas.push_back({{"workspace", workspace.id.value()},
                      {"unit", quota.unit == QuotaUnit::kTokens ? "tokens" : "requests"},
                      {"rate_per_s", quota.rate},
                      {"burst", quota.burst}});
  }
  json holders_by_zone = json::object();
  for (const auto& [zone, address] : holders) holders_by_zone[zone.value()] = address;
  json own_usage = json::array();
  for (const QuotaHolder::Usage& usage : usages) {
    own_usage.push_back({{"workspace", usage.subject.value()},
                         {"config", usage.limits.config_version},
                         {"left", usage.level},
                         {"granted", usage.granted},
                         {"refused", usage.refused},
                         {"borrowed_for", usage.requests_with_loans},
                         {"waiting", usage.waiting}});
  }
  const json dump = {{"config", snapshot ? snapshot->version().value() : 0},
                     {"quotas", quotas},
                     {"holders", holders_by_zone},
                     {"own_share", own_usage}};
  return dump.dump(2, ' ', false, json::error_handler_t::replace);
}

std::string DumpLimits(const GatewayState& state, const std::map<ZoneId, std::string>& holders,
                       std::span<const QuotaHolder::Usage> usages, TimePoint now) {
  json notices = json::array();
  for (const auto& [id, backend] : state.directory().all()) {
    const PushbackState& word = backend->notice_state;
    const auto notice = NoticeRecordOf(*backend, now);
    if (!notice) continue;
    const auto barred = std::max(Duration::zero(),
                                 std::chrono::duration_cast<Duration>(word.blocked_until() - now));
    notices.push_back({{"backend", id.value()},
                       {"number", word.number()},
                       {"limit", notice->limit ? json(notice->limit->per_second()) : json()},
                       {"leaving", notice->leaving},
                       {"rest_left_ms", notice->cool_down_left.count() / 1'000},
                       {"barred_ms", barred.count() / 1'000},
                       {"heard_ms_ago", notice->age.count() / 1'000}});
  }
  json grants = json::array();
  for (const QuotaHolder::Usage& usage : usages) {
    const BackendPtr backend =
        state.directory().FindByHash(BackendHashOf(usage.subject).value_or(BackendHash{0}));
    grants.push_back({{"backend", backend ? backend->entry.id.value() : "gone"},
                      {"number", usage.limits.config_version},
                      {"left", usage.level / static_cast<double>(kQuotaTokensPerRequest)},
                      {"granted", usage.granted},
                      {"refused", usage.refused}});
  }
  json holders_by_zone = json::object();
  for (const auto& [zone, address] : holders) holders_by_zone[zone.value()] = address;
  return json{{"backends", notices}, {"holders", holders_by_zone}, {"counted_here", grants}}.dump(
      2);
}

std::string DumpQuarantine(const PoisonGuard& guard, TimePoint now) {
  json quarantined = json::array();
  for (const auto& [request, until] : guard.Quarantines(now)) {
    const auto remaining = std::chrono::duration_cast<std::chrono::seconds>(until - now);
    quarantined.push_back({{"fingerprint", ToText(request)}, {"left_s", remaining.count()}});
  }
  return json{{"quarantined", quarantined},
              {"suspects", guard.suspects()},
              {"suspected_parts", guard.suspected_parts()}}
      .dump(2);
}

}  // namespace ridgehold
