#include "gateway/engine_grouping.h"

#include <fmt/format.h>

#include <string>
#include <vector>

#include "groups/group_size.h"
#include "log/log.h"

namespace ridgehold {
namespace {

/// Whether the engine can be a member. Engines that load weights stay members, because they are
/// back within a second. Engines that this gateway avoids after a refusal stay members, too,
/// because other gateways do not know of it; they are not polled meanwhile (Shortlist).
bool MayBeMember(const BackendDirectory& directory, const Backend& backend, TimePoint now) {
  return HasPath(backend) && !backend.grace_until && IsUsable(backend, now) &&
         !directory.IsWithheld(backend);
}

void UpdateOrder(const BackendDirectory& directory, std::span<const BackendPtr> engines,
                 ServiceGroups& groups) {
  if (groups.directory_version == directory.version()) return;
  groups.directory_version = directory.version();
  std::vector<EngineGroups::Engine> known;
  known.reserve(engines.size());
  for (const BackendPtr& engine : engines) {
    known.push_back({HashOf(engine->entry.id), engine->entry.zone});
  }
  groups.engines.SetEngines(known);
}

std::uint32_t SlotsOf(const ExchangePlan& plan) {
  const ServiceRule* service = plan.snapshot->FindService(plan.service);
  return service != nullptr && service->engine ? service->engine->slots : 0;
}

void LogSize(const ExchangePlan& plan, std::size_t before, const ServiceGroups& groups,
             const GroupCapacity& capacity) {
  const DemandSample& demand = groups.fleet_demand;
  Log(LogLevel::kInfo, "engine group resized",
      {{"service", plan.service.value()},
       {"size", std::to_string(groups.sizer.size())},
       {"before", std::to_string(before)},
       {"engines", std::to_string(capacity.engines)},
       {"tokens_per_ms", fmt::format("{:.1f}", capacity.tokens_per_ms)},
       {"interactive_running", fmt::format("{:.1f}", demand.interactive_running)},
       {"interactive_rate", fmt::format("{:.0f}", demand.interactive_rate)},
       {"bulk_rate", fmt::format("{:.0f}", demand.bulk_rate)}});
}

}  // namespace

void UpdateEngineGroup(GatewayState& state, ServiceGroups& groups, const ExchangePlan& plan,
                       TimePoint now) {
  const BackendDirectory& directory = state.directory();
  const std::span<const BackendPtr> engines = directory.OfService(plan.service);
  UpdateOrder(directory, engines, groups);
  GroupCapacity capacity;
  capacity.slots = SlotsOf(plan);
  capacity.tokens_per_ms = state.TokensPerMs(plan.service);
  const GroupLimits& limits = state.limits().groups;
  capacity.max_part =
      state.OrdersRequests(plan.service) ? limits.max_urgent_part : limits.max_equal_part;
  std::vector<bool> healthy(engines.size());
  for (std::size_t i = 0; i < engines.size(); ++i) {
    healthy[i] = MayBeMember(directory, *engines[i], now);
    if (healthy[i]) ++capacity.engines;
    engines[i]->in_interactive_group = false;
  }
  groups.fleet_demand =
      groups.peer_demand.FleetTotal(groups.own_demand.Sample(now), state.gateways(), now);
  const std::size_t before = groups.sizer.size();
  const std::size_t size = groups.sizer.Update(RequiredGroupSize(groups.fleet_demand, capacity),
                                               capacity.max_group_size(), now);
  if (size != before) LogSize(plan, before, groups, capacity);
  const auto is_healthy = [&](std::size_t engine) { return healthy[engine]; };
  for (const std::size_t member : groups.engines.Members(size, is_healthy)) {
    engines[member]->in_interactive_group = true;
  }
}

std::optional<RequestGroup> PlacementGroupOf(GatewayState& state, const ExchangePlan& plan,
                                             TimePoint now) {
  ServiceGroups* groups = plan.group ? state.EngineGroupsOf(plan.service) : nullptr;
  if (groups == nullptr) return std::nullopt;
  UpdateEngineGroup(state, *groups, plan, now);
  return groups->sizer.size() > 0 ? plan.group : std::nullopt;
}

void UpdateGroupGauges(GatewayState& state) {
  for (const auto& [service, groups] : state.engine_groups()) {
    const std::string label = fmt::format("service=\"{}\"", service.value());
    const auto set_demand = [&](const std::string& kind, double value) {
      state.metrics().SetGauge("ridgehold_group_demand", fmt::format("{},kind=\"{}\"", label, kind),
                               value);
    };
    state.metrics().SetGauge("ridgehold_engine_group_size", label,
                             static_cast<double>(groups.sizer.size()));
    set_demand("interactive_running", groups.fleet_demand.interactive_running);
    set_demand("interactive_rate", groups.fleet_demand.interactive_rate);
    set_demand("bulk_rate", groups.fleet_demand.bulk_rate);
  }
}

}  // namespace ridgehold
