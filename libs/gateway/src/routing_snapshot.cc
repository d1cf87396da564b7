#include "gateway/routing_snapshot.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>

#include "isolation/cache_scope.h"

namespace ridgehold {
namespace {

std::string RouteKey(std::string_view host, std::string_view prefix) {
  std::string key(host);
  key += '\n';
  key += prefix;
  return key;
}

}  // namespace

Result<std::shared_ptr<const RoutingSnapshot>> RoutingSnapshot::Create(RoutingConfig parts) {
  std::shared_ptr<RoutingSnapshot> snapshot(new RoutingSnapshot(std::move(parts)));
  BOOST_LEAF_CHECK(snapshot->Index());
  return std::shared_ptr<const RoutingSnapshot>(std::move(snapshot));
}

Result<void> RoutingSnapshot::Index() {
  for (std::size_t i = 0; i < parts_.services.size(); ++i) services_[parts_.services[i].id] = i;
  for (std::size_t i = 0; i < workspaces().size(); ++i) {
    for (const std::string& key : workspaces()[i].keys) keys_[key] = i;
    if (workspaces()[i].isolated) isolated_.insert(workspaces()[i].id);
    const auto& quota = workspaces()[i].quota;
    has_quotas_ = has_quotas_ || quota.has_value();
    comparable_quotas_ = comparable_quotas_ && quota && quota->rate > 0 &&
                         quota->unit == workspaces().front().quota->unit;
  }
  keys_.erase("");
  shared_scope_ = SharedCacheScope({isolated_.begin(), isolated_.end()});
  for (std::size_t i = 0; i < parts_.routes.size(); ++i) {
    const RouteRule& route = parts_.routes[i];
    if (route.targets.empty()) {
      return Fail(ResultCode::kInvalidCommand, "route " + route.id.value() + " has no service");
    }
    for (const WeightedTarget& target : route.targets) {
      if (services_.contains(target.service)) continue;
      return Fail(
          ResultCode::kInvalidCommand,
          "route " + route.id.value() + " names an unknown service " + target.service.value());
    }
    const bool added = routes_.try_emplace(RouteKey(route.host, route.path_prefix), i).second;
    if (!added) {
      return Fail(ResultCode::kInvalidCommand, "two routes for " + route.host + route.path_prefix);
    }
    IndexObjectives(route);
  }
  return {};
}

const RouteRule* RoutingSnapshot::FindRoute(std::string_view host, std::string_view path) const {
  // Prefixes end with a slash, so only the slashes of the path can end a match.
  std::size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    const auto found = routes_.find(RouteKey(host, path.substr(0, slash + 1)));
    if (found != routes_.end()) return &parts_.routes[found->second];
    if (slash == 0) break;
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

const WorkspaceRule* RoutingSnapshot::FindWorkspace(const std::string& key) const {
  const auto found = keys_.find(key);
  return found == keys_.end() ? nullptr : &workspaces()[found->second];
}

std::string RoutingSnapshot::CacheScopeOf(const WorkspaceRule* workspace) const {
  if (workspace == nullptr) return shared_scope_;
  // One that this configuration no longer lists keeps the isolation that it had.
  const bool isolated = workspace->isolated || isolated_.contains(workspace->id);
  return isolated ? OwnCacheScope(workspace->id) : shared_scope_;
}

const ServiceRule* RoutingSnapshot::FindService(const ServiceId& id) const {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr : &parts_.services[found->second];
}

RoutingSnapshot::StreamObjectives RoutingSnapshot::ObjectivesOf(const ServiceId& service) const {
  const auto found = stream_objectives_.find(service);
  return found == stream_objectives_.end() ? StreamObjectives() : found->second;
}

std::chrono::milliseconds RoutingSnapshot::ShortestObjective(const ServiceId& service) const {
  return ObjectivesOf(service).shortest;
}

std::chrono::milliseconds RoutingSnapshot::LongestObjective(const ServiceId& service) const {
  return ObjectivesOf(service).longest;
}

std::chrono::milliseconds RoutingSnapshot::ShortestPause(const ServiceId& service) const {
  return ObjectivesOf(service).shortest_pause;
}

double RoutingSnapshot::ShareWeightOf(const WorkspaceRule& workspace) const {
  return comparable_quotas_ && workspace.quota ? static_cast<double>(workspace.quota->rate) : 1;
}

void RoutingSnapshot::IndexObjectives(const RouteRule& route) {
  if (route.kind != RouteKind::kStream) return;
  const auto lower = [](std::chrono::milliseconds& shortest, std::chrono::milliseconds objective) {
    if (objective.count() <= 0) return;
    shortest = shortest.count() > 0 ? std::min(shortest, objective) : objective;
  };
  for (const WeightedTarget& target : route.targets) {
    StreamObjectives& objectives = stream_objectives_[target.service];
    lower(objectives.shortest, route.latency_objective);
    lower(objectives.shortest_pause, route.pause_objective);
    objectives.longest = std::max(objectives.longest, route.latency_objective);
  }
}

const KvCacheStore* RoutingSnapshot::KvStoreFor(std::uint64_t parts, const ZoneId& zone,
                                                const ZoneTopology& topology) const {
  using Rank = std::pair<bool, std::uint64_t>;
  const KvCacheStore* chosen = nullptr;
  Rank highest;
  for (const ServiceRule& service : parts_.services) {
    if (!service.kv_store) continue;
    const std::string& name = service.id.value();
    const bool near = topology.Between(zone, service.kv_store->zone) != ZoneDistance::kOtherRegion;
    const Rank rank(near, XXH3_64bits_withSeed(name.data(), name.size(), parts));
    if (chosen != nullptr && rank <= highest) continue;
    chosen = &*service.kv_store;
    highest = rank;
  }
  return chosen;
}

const ServiceId& PickTarget(const RouteRule& route, const RequestId& request) {
  const std::uint64_t total = std::accumulate(
      route.targets.begin(), route.targets.end(), std::uint64_t{0},
      [](std::uint64_t sum, const WeightedTarget& target) { return sum + target.weight; });
  if (total == 0) return route.targets.front().service;
  std::uint64_t point = std::hash<std::string>{}(request.value()) % total;
  for (const WeightedTarget& target : route.targets) {
    if (point < target.weight) return target.service;
    point -= target.weight;
  }
  return route.targets.back().service;
}

}  // namespace ridgehold
