// Chooses the backend server for a request: shared prompt parts, work ahead, distance.

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

namespace ridgehold {

/// A prompt's shared parts as a chain: each hash stands for a part and all before it.
struct PromptChain {
  std::vector<SharedPart> parts;    ///< without the request's own last part
  std::uint32_t shared_tokens = 0;  ///< of these parts
  std::uint32_t prompt_tokens = 0;  ///< of the whole prompt

  /// `scope` keeps chains apart that may not share cache entries.
  static PromptChain Of(const GenerationRequest& request, std::string_view scope);

  std::uint32_t own_tokens() const {
    return prompt_tokens - std::min(prompt_tokens, shared_tokens);
  }
};

/// Fewer shared tokens than this are read again sooner than fetched.
inline constexpr std::uint32_t kMinFetchTokens = 256;

/// Figures the choice weighs; each in milliseconds unless it says otherwise.
struct PlacementCosts {
  /// Speed of an engine until its first answers tell (PrefillRateEstimator).
  double prefill_tokens_per_ms = 56;
  /// What a request that runs already adds to the wait for a first event.
  double per_running_request = 0.6;
  /// A round trip to another zone, and the price of bytes between zones.
  double other_zone = 6;
  /// Fetching shared parts from another engine: the call, and each token;
  /// twice that from another zone.
  double fetch_call = 8;
  double fetch_token = 0.001;
  /// The same from a store of kept cache, whose link is slower.
  double store_call = 10;
  double store_token = 0.006;
  /// Reading takes an engine's time from all that wait there; so many times its
  /// own time a fetch may take instead.
  double reprefill_factor = 2;
  /// Off: the settings' speed holds, whatever first events tell.
  bool observe_speed = true;
  /// Off: where there is a store, parts come from it alone.
  bool engines_as_sources = true;
  /// Off: links are taken to be idle.
  bool watch_links = true;
  /// Each token of a second copy takes the place of something else. On the
  /// grown fleets 0.008 and 0.02 were alike and better than 0.002.
  double copy_token = 0.01;
  /// What a call to a plain service adds to the wait of the next one.
  double per_running_call = 20;
  /// How much a backend server whose answers all fail is worse than others.
  double error_penalty = 400;
  /// How much older weights are worse than the newest, once those are old news.
  double older_weights = 150;
  /// Requests may begin on older weights this long without being worth less.
  std::chrono::milliseconds older_weights_free{1'000};
  /// Parts are read and can be fetched this long after they were brought.
  std::chrono::milliseconds prefill_delay{250};
  /// Parts in this part of an engine's memory, counted from those that go next,
  /// may be evicted already: what runs there and what other gateways sent a
  /// moment ago is not all known. A fetch costs 1 ms if they are there.
  double eviction_risk_fraction = 0.3;
  /// An engine that is to get no new requests is chosen only before none.
  double hold_penalty = 3'000;
  /// One whose tracking gateway was asked and gave no answer may have as much to
  /// read as this: more than an engine has in the mean, less than a full one.
  double no_report_penalty = 100;
};

/// The store of kept cache that keeps a prompt's parts.
struct KvStoreView {
  ZoneId zone;
  LinkHash link = 0;
  double ms_per_token = 0;            ///< over its link; 0: as the weights say
  const EngineCache* kept = nullptr;  ///< what it has, see StoredPart; null: taken to have all
};

/// A part as stores keep it: parts of other weights are others.
SharedPart StoredPart(const SharedPart& part, WeightsNumber weights);
std::vector<SharedPart> StoredParts(std::span<const SharedPart> parts, WeightsNumber weights);

/// What the choice is made for.
struct PlacementQuery {
  ZoneId own_zone;
  const PromptChain* chain = nullptr;  ///< null for calls of plain services
  ModelId model;
  std::optional<WeightsNumber> newest_weights;
  std::optional<TimePoint> newest_since;  ///< when they were named
  std::uint64_t cache_tokens = 0;         ///< memory of one engine
  std::optional<KvStoreView> store;       ///< of kept cache, if there is one
  const TransferLinks* links = nullptr;   ///< null: taken to be idle
  /// What the gateways say that track the candidates; null: all is known here.
  const LoadAnswer* answers = nullptr;
  double engine_ms_per_token = 0;    ///< over an engine's link; 0: as the weights say
  RingSegment segment;               ///< of the engines that keep the prompt's beginning
  double unheard_gateway_ratio = 0;  ///< requests of unheard gateways for each own one
  double tokens_per_ms = 0;          ///< at which engines read; 0: as the weights say
  std::uint64_t tie_break = 0;
  TimePoint now{};
};

/// Where shared parts can be fetched from.
struct CacheSource {
  std::optional<std::size_t> engine;  ///< another candidate; none: the store
  std::uint32_t tokens = 0;           ///< of the chain that it has
  double ms = 0;                      ///< until they are there, with the wait for the link
  double link_ms = 0;                 ///< of that, what the link is busy
};

/// The chosen one and why.
struct Placement {
  std::size_t index = 0;
  double cost = 0;                  ///< milliseconds it is expected to take, with prices
  double first_event_ms = 0;        ///< of that, until the prompt is read
  double queue_ms = 0;              ///< of that, until what was sent before has been read
  double queued_tokens = 0;         ///< those tokens
  std::uint32_t cached_tokens = 0;  ///< expected to be in its cache, or fetched into it
  std::uint32_t known_tokens = 0;   ///< of those, what it has without a fetch
  /// Where parts come from that the chosen one lacks.
  std::optional<CacheSource> source;
  bool lacks_parts = false;     ///< shared parts are not expected in its own cache
  bool may_lack_parts = false;  ///< they are, but may have been evicted
};

/// Returns the cheapest of `candidates`, which are never none. Pure.
Placement ChooseBackend(const PlacementQuery& query, std::span<const BackendPtr> candidates,
                        const PlacementCosts& costs);

}  // namespace ridgehold
