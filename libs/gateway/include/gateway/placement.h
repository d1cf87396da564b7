// Chooses the backend server for a request by cached prompt parts, queued work and distance.

#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "gateway/backend_directory.h"
#include "gateway/inbound_request.h"
#include "gateway/load_report.h"
#include "gateway/prefix_shares.h"
#include "gateway/transfer_links.h"
#include "gateway/zone_topology.h"
#include "memory/memory_fit.h"
#include "performance/pause_cost.h"

namespace ridgehold {

/// A prompt's shared parts as a hash chain: each hash covers a part and all parts before it.
struct PromptChain {
  std::vector<SharedPart> parts;    ///< excludes the last part, which is the request's own
  std::uint32_t shared_tokens = 0;  ///< tokens in these parts
  std::uint32_t prompt_tokens = 0;  ///< tokens in the whole prompt

  /// Prompts with different `scope` get different hashes, so they share no cache entries.
  static PromptChain Of(const GenerationRequest& request, std::string_view scope);

  std::uint32_t own_tokens() const {
    return prompt_tokens - std::min(prompt_tokens, shared_tokens);
  }
};

/// Prefixes with fewer shared tokens than this are not fetched, since recomputing them is faster.
inline constexpr std::uint32_t kMinFetchTokens = 256;

/// Parameters of the placement cost model, in milliseconds unless stated otherwise.
struct PlacementCosts {
  /// Prefill rate of an engine in tokens/ms until it can be estimated (PrefillRateEstimator).
  double prefill_tokens_per_ms = 56;
  /// Added to the wait for the first event by each running request.
  double per_running_request = 0.6;
  /// Cost of a backend server in another zone: the round trip and the price of traffic between
  /// zones.
  double cross_zone = 6;
  /// The same in another region: the round trip and that of a new connection.
  double cross_region = 80;
  /// See ScopeQuery.
  std::size_t min_zone_servers = 256;
  /// Cost of fetching shared parts from another engine, for each call and each token; doubled if it
  /// is in another zone.
  double fetch_call = 8;
  double fetch_token = 0.001;
  /// The same for a KV cache store, whose link is slower.
  double store_call = 10;
  double store_token = 0.006;
  /// Prefill delays every request queued on the engine, so a fetch may take this many times the
  /// prefill time that it saves.
  double reprefill_factor = 2;
  /// If false, `prefill_tokens_per_ms` is used even when the prefill rate can be estimated.
  bool estimate_prefill_rate = true;
  /// If false, parts are not fetched from other engines when there is a KV cache store.
  bool engines_as_sources = true;
  /// If false, links are assumed to be idle.
  bool watch_links = true;
  /// Cost of each token that is cached anew on an engine other than the prompt's home, where the
  /// second copy evicts other entries. On the larger fleets 0.008 and 0.02 gave similar results,
  /// both better than 0.002.
  double copy_token = 0.01;
  /// Added to the wait of the next call by each running call to a plain service.
  double per_running_call = 20;
  /// Cost of a backend server whose answers all fail.
  double error_penalty = 400;
  /// Cost of older weights once the newest were announced `older_weights_grace` ago.
  double older_weights = 150;
  /// Older weights cost nothing for this long after newer ones were announced.
  std::chrono::milliseconds older_weights_grace{1'000};
  /// Parts are assumed to be prefilled, and can be fetched, this long after they were added.
  std::chrono::milliseconds prefill_delay{250};
  /// The least recently used fraction of an engine's memory that may already be evicted: running
  /// requests and recent placements by other gateways are not fully known. A fetch of parts that
  /// turn out to be cached costs 1 ms.
  double eviction_risk_fraction = 0.3;
  /// Cost of an engine that gets no new requests for now, so that it is chosen only if there is no
  /// other.
  double hold_penalty = 3'000;
  /// Cost of an engine whose tracking gateway did not answer the load query. Its prefill queue is
  /// assumed to take this long: longer than the average engine's and shorter than a full one's.
  double no_report_penalty = 100;
  /// Cost of an engine whose memory has no room for the request. Exceeds the longest queue that
  /// admission allows and the prefill of a long prompt together (225 ms and 162 ms with an
  /// objective of 250 ms), so that an engine with room is chosen even if it has nothing cached.
  double no_room_penalty = 400;
};

/// How much longer a transfer of KV cache takes than within a zone.
double TransferFactor(ZoneDistance distance);

/// The KV cache store responsible for a prompt's parts.
struct KvStoreView {
  ZoneId zone;
  LinkHash link = 0;
  double ms_per_token = 0;                ///< over its link; 0: use PlacementCosts
  const EngineCache* contents = nullptr;  ///< estimated; null: assumed to hold everything
};

/// The key of a part in a store. Parts of different weights have different keys.
SharedPart StoredPart(const SharedPart& part, WeightsNumber weights);
std::vector<SharedPart> StoredParts(std::span<const SharedPart> parts, WeightsNumber weights);

/// The request and the state that a placement is chosen for.
struct PlacementQuery {
  ZoneId own_zone;
  const ZoneTopology* topology = nullptr;  ///< null: all zones are in one region
  const PromptChain* chain = nullptr;      ///< null for calls to plain services
  ModelId model;
  std::optional<WeightsNumber> newest_weights;
  std::optional<TimePoint> newest_announced_at;  ///< when they were announced
  std::uint64_t cache_tokens = 0;                ///< memory of one engine, in tokens
  std::optional<KvStoreView> store;              ///< the KV cache store, if there is one
  const TransferLinks* links = nullptr;          ///< null: assumed to be idle
  /// The reports of the gateways that track the candidates; null if they were not queried.
  const LoadAnswer* answers = nullptr;
  double engine_ms_per_token = 0;    ///< over an engine's link; 0: use PlacementCosts
  RingSegment segment;               ///< engines responsible for the prompt's first part
  double unheard_gateway_ratio = 0;  ///< requests of gateways without reports per own request
  double tokens_per_ms = 0;          ///< prefill rate of the engines; 0: use PlacementCosts
  bool uses_performance = false;     ///< whether the speed of each engine is considered
  PauseCost pause_cost;              ///< if so, of the request's pauses
  std::uint64_t tie_break = 0;
  std::optional<MemoryFit> memory;  ///< none: every request is assumed to fit
  TimePoint now{};
};

/// A source to fetch shared parts from.
struct CacheSource {
  std::optional<std::size_t> engine;  ///< index of another candidate; none: the store
  std::uint32_t tokens = 0;           ///< tokens of the chain that it holds
  double ms = 0;                      ///< until they are fetched, including the wait for the link
  double link_ms = 0;                 ///< of that, how long the link is occupied
};

/// The chosen candidate and the estimates behind the choice.
struct Placement {
  std::size_t index = 0;
  double cost = 0;                  ///< expected milliseconds, including penalties
  double first_event_ms = 0;        ///< of that, until the prompt is prefilled
  double queue_ms = 0;              ///< of that, until previously sent prompts are prefilled
  double queued_tokens = 0;         ///< tokens in those prompts
  double slowness = 1;              ///< of the engine, see EnginePerformance
  std::uint32_t cached_tokens = 0;  ///< expected in its cache, including fetched parts
  std::uint32_t known_tokens = 0;   ///< of these, tokens held without a fetch
  /// Where to fetch the parts that the chosen candidate lacks.
  std::optional<CacheSource> source;
  bool lacks_parts = false;     ///< not all shared parts are expected in its cache
  bool may_lack_parts = false;  ///< they are expected, but may have been evicted
  /// Tokens of KV cache that its running requests hold.
  std::uint64_t memory_held = 0;
  /// Whether the request fits into its memory beside them.
  bool fits = true;
};

/// Returns the candidate with the lowest cost. `candidates` must not be empty. Pure.
Placement ChooseBackend(const PlacementQuery& query, std::span<const BackendPtr> candidates,
                        const PlacementCosts& costs);

}  // namespace ridgehold
