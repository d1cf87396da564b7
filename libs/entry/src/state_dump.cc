#include "entry/state_dump.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "gateway/gateway_state.h"
#include "gateway/request_log.h"

namespace ridgehold {
namespace {

using nlohmann::json;

json Describe(const Backend& backend) {
  return {{"id", backend.entry.id.value()},
          {"started", backend.entry.started.value()},
          {"service", backend.entry.service.value()},
          {"address", backend.entry.address},
          {"zone", backend.entry.zone.value()},
          {"draining", backend.entry.draining},
          {"missing", backend.grace_until.has_value()},
          {"in_flight", backend.in_flight},
          {"peers_running", backend.peers.running},
          {"failures", backend.failures},
          {"error_rate", backend.error_rate}};
}

}  // namespace

std::string DumpState(GatewayState& state, const InstanceFacts& facts, TimePoint now) {
  json backends = json::array();
  for (const auto& [id, backend] : state.directory().all()) backends.push_back(Describe(*backend));
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - state.confirmed_at());
  const json dump = {{"daemon", facts.daemon.value()},
                     {"zone", state.zone().value()},
                     {"ready", facts.ready},
                     {"shutting_down", state.shutting_down()},
                     {"config", state.snapshot() ? state.snapshot()->version().value() : 0},
                     {"config_age_ms", age.count()},
                     {"gateways", state.gateways()},
                     {"rollout_held", facts.holds_rollout},
                     {"in_flight", state.in_flight()},
                     {"connections", facts.connections},
                     {"settings", facts.settings},
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
  json shares = json::object();
  for (const auto& [zone, address] : holders) shares[zone.value()] = address;
  json used = json::array();
  for (const QuotaHolder::Usage& usage : usages) {
    used.push_back({{"workspace", usage.subject.value()},
                    {"config", usage.limits.config_version},
                    {"left", usage.level},
                    {"granted", usage.granted},
                    {"refused", usage.refused},
                    {"borrowed_for", usage.requests_with_loans},
                    {"waiting", usage.waiting}});
  }
  const json dump = {{"config", snapshot ? snapshot->version().value() : 0},
                     {"quotas", quotas},
                     {"holders", shares},
                     {"own_share", used}};
  return dump.dump(2, ' ', false, json::error_handler_t::replace);
}

std::string DumpLimits(const GatewayState& state, const std::map<ZoneId, std::string>& holders,
                       std::span<const QuotaHolder::Usage> usages, TimePoint now) {
  json words = json::array();
  for (const auto& [id, backend] : state.directory().all()) {
    const BackendWord& word = backend->notice_state;
    const auto asked = NoticeRecordOf(*backend, now);
    if (!asked) continue;
    const auto barred =
        std::max(Duration::zero(), std::chrono::duration_cast<Duration>(word.barred_until() - now));
    words.push_back({{"backend", id.value()},
                     {"number", word.number()},
                     {"limit", asked->limit ? json(asked->limit->per_second()) : json()},
                     {"leaving", asked->leaving},
                     {"rest_left_ms", asked->cool_down_left.count() / 1'000},
                     {"barred_ms", barred.count() / 1'000},
                     {"heard_ms_ago", asked->age.count() / 1'000}});
  }
  json counted = json::array();
  for (const QuotaHolder::Usage& usage : usages) {
    const BackendPtr backend =
        state.directory().FindByHash(BackendHashOf(usage.subject).value_or(BackendHash{0}));
    counted.push_back({{"backend", backend ? backend->entry.id.value() : "gone"},
                       {"number", usage.limits.config_version},
                       {"left", usage.level / static_cast<double>(kQuotaTokensPerRequest)},
                       {"granted", usage.granted},
                       {"refused", usage.refused}});
  }
  json shares = json::object();
  for (const auto& [zone, address] : holders) shares[zone.value()] = address;
  return json{{"backends", words}, {"holders", shares}, {"counted_here", counted}}.dump(2);
}

std::string DumpQuarantine(const PoisonGuard& guard, TimePoint now) {
  json list = json::array();
  for (const auto& [request, until] : guard.Quarantined(now)) {
    const auto left = std::chrono::duration_cast<std::chrono::seconds>(until - now);
    list.push_back({{"fingerprint", ToText(request)}, {"left_s", left.count()}});
  }
  return json{{"quarantined", list}, {"suspects", guard.suspects()}}.dump(2);
}

}  // namespace ridgehold
