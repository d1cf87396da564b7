// The load query that a gateway sends to the gateways that track backend servers, and the answer.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "gateway/backend_directory.h"
#include "gateway/engine_cache.h"
#include "gateway/inbound_request.h"
#include "gateway/transfer_links.h"
#include "groups/group_demand.h"
#include "performance/performance_update.h"
#include "priority/workspace_shares.h"

namespace ridgehold {

/// A KV cache store that a query asks about.
struct StoreQuery {
  LinkHash link = 0;
  ZoneId zone;
};

/// The query that is sent before a request is placed.
struct LoadQuestion {
  std::vector<BackendPtr> backends;
  std::vector<SharedPart> parts;  ///< parts of the prompt; only their hashes are sent
  ModelId model;
  WeightsNumber weights;            ///< weights under which the store's parts were computed
  std::optional<StoreQuery> store;  ///< none: nothing is fetched from a store
  BackendPtr home;                  ///< its tracker reports who holds the parts; null: none
  WorkspaceHash workspace = 0;      ///< whose share of the load is asked for; 0: none
  double workspace_weight = 1;      ///< of that workspace; not sent
  ServiceId service;                ///< asks for the demand for its engines; empty: none
};

/// The state of a backend server, reported by the gateway that tracks it.
struct BackendReport {
  BackendHash backend = 0;
  PeerLoad work;                          ///< load of all gateways except the querying one
  Duration hold{0};                       ///< remaining time for which it gets no new requests
  WeightsNumber weights;                  ///< weights of the queried model; 0: not known
  EngineCache::PrefixMatch prefix_match;  ///< cached prefix of the queried parts
  Duration link_wait{0};                  ///< time until its link is free
  bool reachable = true;                  ///< as seen by the reporting gateway
  PerformanceReport performance{};
  /// Since the process that has ended at its address last showed life, while the next is not known.
  std::optional<std::chrono::milliseconds> ended;
};

/// The state of a KV cache store.
struct StoreReport {
  LinkHash link = 0;
  std::uint32_t readable_tokens = 0;  ///< longest stored prefix of the queried parts
  Duration link_wait{0};
};

/// One gateway's sample of how often its own prompts begin with a given part.
struct PrefixSample {
  double tokens = 0;  ///< added to caches by prompts with this first part
  double total = 0;   ///< added by all prompts
};

/// The answers that arrived in time.
struct LoadAnswer {
  std::map<BackendHash, BackendReport> backends;
  std::optional<StoreReport> store;
  std::vector<BackendHash> holders;  ///< engines estimated to have all parts
  std::vector<PrefixSample> samples;
  std::vector<WorkspaceSample> workspace_samples;
  std::vector<DemandSample> demands;  ///< of the answering gateways, for the service

  /// Null if it was not queried or did not answer.
  const BackendReport* Find(const Backend& backend) const {
    const auto found = backends.find(HashOf(backend));
    return found == backends.end() ? nullptr : &found->second;
  }
};

}  // namespace ridgehold
