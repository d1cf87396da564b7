// An immutable snapshot of one version of the configuration: routes, services, workspaces and
// limits.

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "gateway/zone_topology.h"
#include "quota/workspace_quota.h"

namespace ridgehold {

/// The version number of a configuration; increases, not always by one.
using ConfigVersion = Strong<struct ConfigVersionTag, std::uint64_t>;

/// Whether requests of a route may be repeated.
enum class RouteKind : std::uint8_t {
  kSafe,    ///< may run more than once
  kUnsafe,  ///< may run at most once
  kStream,  ///< answers with a stream of events; like kUnsafe unless resumable
};

/// One of the services among which a route's requests are distributed.
struct WeightedTarget {
  ServiceId service;
  std::uint32_t weight = 1;
};

/// How requests for a host and path prefix are handled.
struct RouteRule {
  RuleId id;
  std::string host;         ///< lower case, without a port
  std::string path_prefix;  ///< begins and ends with a slash
  RouteKind kind = RouteKind::kSafe;
  std::chrono::milliseconds timeout{0};            ///< maximum time until the answer
  std::chrono::milliseconds latency_objective{0};  ///< streams: time to the first event
  std::chrono::milliseconds pause_objective{0};    ///< streams: time between two events
  int priority = 0;                                ///< 0 is the most urgent
  std::uint32_t max_attempts = 1;  ///< maximum number of backend servers that may run one request
  bool is_public = false;          ///< requires no API key
  bool caches_prompts = false;     ///< requests list the parts of their prompts
  bool resumable = false;
  std::vector<WeightedTarget> targets;

  /// Whether a request may run a second time.
  bool MayRepeat() const { return kind == RouteKind::kSafe || IsResumable(); }
  /// Whether another request may go on with a stream that was broken off.
  bool IsResumable() const { return kind == RouteKind::kStream && resumable; }
};

/// The engine settings of a service.
struct EngineProfile {
  std::uint32_t slots = 1;            ///< maximum concurrent requests
  std::uint64_t cache_tokens = 0;     ///< KV cache memory, in tokens
  std::uint32_t max_event_polls = 0;  ///< concurrent long polls for cache events, from all callers
  double token_bytes = 0;             ///< bytes of KV cache per token; 0: not known
  double link_mbps = 0;  ///< bandwidth of the link for KV cache transfers; 0: not known
};

/// A KV cache store.
struct KvCacheStore {
  std::string address;
  ZoneId zone;
  std::uint64_t cache_tokens = 0;  ///< capacity, in tokens; 0: not known
  double link_mbps = 0;            ///< 0: not known
};

/// A service that routes refer to.
struct ServiceRule {
  ServiceId id;
  std::string health_path;
  std::uint32_t max_connections = 0;  ///< for each backend server, from all callers
  std::optional<EngineProfile> engine;
  std::optional<KvCacheStore> kv_store;
};

/// A workspace and its API keys.
struct WorkspaceRule {
  WorkspaceId id;
  std::vector<std::string> keys;
  std::optional<int> priority;  ///< overrides the route's
  bool isolated = false;        ///< shares no cache entries with other workspaces
  std::optional<WorkspaceQuota> quota;
};

/// Limits on the size and duration of callers' requests.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16 << 10;
  std::uint64_t max_body_bytes = 4 << 20;
  std::chrono::milliseconds header_timeout{3'000};
  std::chrono::milliseconds idle_timeout{15'000};
};

/// The contents of a configuration, in no particular order.
struct RoutingConfig {
  ConfigVersion version;
  std::vector<RouteRule> routes;
  std::vector<ServiceRule> services;
  /// None: requests need no API key. An empty list lets no API key pass.
  std::optional<std::vector<WorkspaceRule>> workspaces;
  CallerLimits limits;
};

/// Immutable, so that each request is handled under one version throughout.
class RoutingSnapshot {
 public:
  /// Fails with kInvalidCommand if a route refers to an unknown service or has no service, or if
  /// two routes have the same host and prefix.
  static Result<std::shared_ptr<const RoutingSnapshot>> Create(RoutingConfig parts);

  /// Returns the route of `host` with the longest prefix that matches `path`, or null.
  const RouteRule* FindRoute(std::string_view host, std::string_view path) const;

  /// Returns the workspace that has the API key, or null. No workspace has an empty one, which
  /// stands for a request without a key.
  const WorkspaceRule* FindWorkspace(const std::string& key) const;

  const ServiceRule* FindService(const ServiceId& id) const;

  /// The scope within which requests of this workspace share KV cache; null: of a public route.
  std::string CacheScopeOf(const WorkspaceRule* workspace) const;

  /// Returns the store for the KV cache of the prompt parts with this hash, or null if there is no
  /// store. All gateways of a region pick the same store of that region by rendezvous hashing, so
  /// adding or removing a store moves only that store's share. Without a store in the region of
  /// `zone` they pick among all.
  const KvCacheStore* KvStoreFor(std::uint64_t parts, const ZoneId& zone = {},
                                 const ZoneTopology& topology = {}) const;

  /// The shortest latency objective of the streaming routes to a service; zero if none has one.
  std::chrono::milliseconds ShortestObjective(const ServiceId& service) const;
  /// The longest one; zero if none has one.
  std::chrono::milliseconds LongestObjective(const ServiceId& service) const;
  /// The shortest pause objective of the streaming routes to a service; zero if none has one.
  std::chrono::milliseconds ShortestPause(const ServiceId& service) const;

  ConfigVersion version() const { return parts_.version; }
  const CallerLimits& limits() const { return parts_.limits; }
  const std::vector<ServiceRule>& services() const { return parts_.services; }
  const std::vector<RouteRule>& routes() const { return parts_.routes; }
  std::span<const WorkspaceRule> workspaces() const {
    return parts_.workspaces ? std::span<const WorkspaceRule>(*parts_.workspaces)
                             : std::span<const WorkspaceRule>();
  }
  /// Whether requests need an API key, except on public routes. They do if the configuration lists
  /// workspaces, even if the list is empty.
  bool requires_keys() const { return parts_.workspaces.has_value(); }
  /// The workspace's weight in shares of the load: the rate of its quota, or 1 if any workspace has
  /// no quota or quotas have different units.
  double ShareWeightOf(const WorkspaceRule& workspace) const;
  /// Whether any workspace has a quota.
  bool has_quotas() const { return has_quotas_; }

 private:
  explicit RoutingSnapshot(RoutingConfig parts) : parts_(std::move(parts)) {}

  /// The objectives of the streaming routes to one service; zero if none has one.
  struct StreamObjectives {
    std::chrono::milliseconds shortest{0};
    std::chrono::milliseconds longest{0};
    std::chrono::milliseconds shortest_pause{0};
  };

  Result<void> Index();
  void IndexObjectives(const RouteRule& route);
  StreamObjectives ObjectivesOf(const ServiceId& service) const;

  RoutingConfig parts_;
  /// Keyed by host, newline and prefix.
  std::unordered_map<std::string, std::size_t> routes_;
  std::unordered_map<std::string, std::size_t> keys_;
  std::string shared_scope_;  ///< see SharedCacheScope()
  std::unordered_set<WorkspaceId> isolated_;
  bool has_quotas_ = false;
  bool comparable_quotas_ = true;  ///< all workspaces have a quota, in the same unit
  std::unordered_map<ServiceId, std::size_t> services_;
  std::unordered_map<ServiceId, StreamObjectives> stream_objectives_;
};

/// Picks one of a route's services by weight; equal request ids get the same one.
const ServiceId& PickTarget(const RouteRule& route, const RequestId& request);

}  // namespace ridgehold
