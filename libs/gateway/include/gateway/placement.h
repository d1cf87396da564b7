// Chooses the backend server for a request: shared prompt parts, work ahead, distance.

#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "gateway/backend_directory.h"
#include "gateway/inbound_request.h"
#include "gateway/prefix_shares.h"

namespace ridgehold {

/// A prompt's shared parts as a chain: each hash stands for a part and all before it.
struct PromptChain {
  struct Link {
    std::uint64_t hash = 0;
    std::uint32_t tokens_up_to = 0;  ///< of this part and all before it
  };
  std::vector<Link> links;          ///< without the request's own last part
  std::uint32_t prompt_tokens = 0;  ///< of the whole prompt

  /// `scope` keeps chains apart that may not share cache entries.
  static PromptChain Of(const GenerationRequest& request, std::string_view scope);

  std::uint32_t shared_tokens() const { return links.empty() ? 0 : links.back().tokens_up_to; }
};

/// Figures the choice weighs; each in milliseconds unless it says otherwise.
struct PlacementWeights {
  /// Speed of an engine until its first answers tell (ReadingSpeed).
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
  /// Each token of a second copy takes the place of something else. On the
  /// grown fleets 0.008 and 0.02 were alike and better than 0.002.
  double copy_token = 0.01;
  /// What a call to a plain service adds to the wait of the next one.
  double per_running_call = 20;
  /// How much a backend server whose answers all fail is worse than others.
  double failing = 400;
  /// How much older weights are worse than the newest, once those are old news.
  double older_weights = 150;
  /// Requests may begin on older weights this long without being worth less.
  std::chrono::milliseconds older_weights_free{1'000};
  /// Part of an engine's memory that keeps parts nobody uses now; the rest is
  /// taken by running requests.
  double cache_part = 0.7;
  /// Parts are read and can be fetched this long after they were brought.
  std::chrono::milliseconds reading_time{250};
  /// Parts for whose last use more than this part of the memory has been
  /// taken in may be evicted; a fetch from the store costs 1 ms if not.
  double doubtful_part = 0.3;
  /// An engine that is to get no new requests is chosen only before none.
  double held = 3'000;
};

/// What the choice is made for.
struct PlacementQuery {
  ZoneId own_zone;
  const PromptChain* chain = nullptr;  ///< null for calls of plain services
  ModelId model;
  std::optional<WeightsNumber> newest_weights;
  std::optional<TimePoint> newest_since;  ///< when they were named
  std::uint64_t cache_tokens = 0;         ///< memory of one engine
  std::optional<ZoneId> store_zone;       ///< of the store of kept cache, if there is one
  CircleSegment segment;                  ///< of the engines that keep the prompt's beginning
  double unheard_share = 0;               ///< requests of unheard gateways for each own one
  double tokens_per_ms = 0;               ///< at which engines read; 0: as the weights say
  std::uint64_t tie_break = 0;
  TimePoint now{};
};

/// The chosen one and why.
struct Placement {
  std::size_t index = 0;
  double cost = 0;                  ///< milliseconds it is expected to take, with prices
  double wait = 0;                  ///< of that, until the prompt is read
  double ahead = 0;                 ///< of that, until what was sent before has been read
  double tokens_ahead = 0;          ///< those tokens
  std::uint32_t cached_tokens = 0;  ///< expected to be in its cache, or fetched into it
  std::uint32_t known_tokens = 0;   ///< of those, what it has without a fetch
  /// Another candidate that has parts which the chosen one lacks.
  std::optional<std::size_t> fetch_from;
  bool lacks_parts = false;   ///< shared parts are not expected in its own cache
  bool doubts_parts = false;  ///< they are, but may have been evicted
};

/// Returns the cheapest of `candidates`, which are never none. Pure.
Placement ChooseBackend(const PlacementQuery& query, std::span<const BackendPtr> candidates,
                        const PlacementWeights& weights);

}  // namespace ridgehold
