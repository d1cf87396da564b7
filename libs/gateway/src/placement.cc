#include "gateway/placement.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>

#include "performance/weighted_rank.h"

namespace ridgehold {
namespace {

// Cost of a backend server that failed recently, so that it is chosen last.
constexpr double kAvoidPenalty = 5'000;

std::uint64_t Hash(std::uint64_t seed, std::uint64_t value) {
  return XXH3_64bits_withSeed(&value, sizeof value, seed);
}

std::uint64_t HashText(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

}  // namespace

double TransferFactor(ZoneDistance distance) {
  switch (distance) {
    case ZoneDistance::kSameZone:
      return 1;
    case ZoneDistance::kSameRegion:
      return 2;
    case ZoneDistance::kOtherRegion:
      break;
  }
  return 10;
}

namespace {

/// Chooses among one set of candidates.
class Chooser {
 public:
  Chooser(const PlacementQuery& query, std::span<const BackendPtr> candidates,
          const PlacementCosts& costs)
      : query_(query), candidates_(candidates), costs_(costs) {
    for (const BackendPtr& candidate : candidates_) {
      id_hashes_.push_back(HashOf(candidate->entry.id));
    }
    if (query_.chain == nullptr) return;
    RankHomes();
    FindSources();
  }

  Placement Choose() const {
    Placement best;
    best.cost = std::numeric_limits<double>::max();
    std::uint64_t best_tie_hash = 0;
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
      Placement placement = Evaluate(i);
      const std::uint64_t tie_hash = Hash(query_.tie_break, id_hashes_[i]);
      if (placement.cost > best.cost) continue;
      if (placement.cost == best.cost && tie_hash <= best_tie_hash) continue;
      best = placement;
      best_tie_hash = tie_hash;
    }
    return best;
  }

 private:
  /// The estimated cache contents of a candidate.
  struct CacheEstimate {
    std::uint32_t known_tokens = 0;      ///< tokens of the chain, added by earlier requests
    std::uint32_t fetchable_tokens = 0;  ///< of these, tokens whose prefill is done
    bool may_be_evicted = false;         ///< some parts may have been evicted
    bool in_segment = false;             ///< responsible for the prompt's first part
    std::uint64_t rank = 0;              ///< rank in rendezvous hashing
  };

  /// A candidate that parts may be fetched from.
  struct EngineSource {
    std::size_t index = 0;
    double link_wait = 0;  ///< ms
  };

  Placement Evaluate(std::size_t index) const {
    const Backend& backend = *candidates_[index];
    Placement placement;
    placement.index = index;
    placement.cost = backend.error_rate * costs_.error_penalty;
    placement.cost += DistanceCost(backend.entry.zone);
    if (IsAvoided(backend, query_.now) || !HasPath(backend)) placement.cost += kAvoidPenalty;
    if (backend.grace_until) placement.cost += kAvoidPenalty / 2;
    if (backend.hold_until > query_.now) placement.cost += costs_.hold_penalty;
    if (query_.answers != nullptr && ReportOn(backend) == nullptr) {
      placement.cost += costs_.no_report_penalty;
    }
    if (query_.chain == nullptr) {
      placement.cost +=
          costs_.per_running_call * FleetTotal(backend.in_flight, backend.peers.running);
      return placement;
    }
    EvaluateCache(index, placement);
    placement.queued_tokens = FleetTotal(backend.unprefilled_tokens, backend.peers.unread_tokens);
    placement.slowness = SlownessOf(backend);
    placement.queue_ms = PrefillTime(backend, placement.queued_tokens);
    placement.first_event_ms =
        std::max(placement.queue_ms, FetchTime(placement)) + OwnPrefillTime(backend, placement);
    placement.cost += placement.first_event_ms + RunningCost(backend);
    if (query_.uses_performance) {
      placement.cost += query_.pause_cost.Of(placement.slowness, placement.queue_ms);
    }
    placement.cost += OlderWeightsCost(backend);
    EvaluateMemory(backend, placement);
    return placement;
  }

  ZoneDistance Distance(const ZoneId& a, const ZoneId& b) const {
    if (query_.topology != nullptr) return query_.topology->Between(a, b);
    return a == b ? ZoneDistance::kSameZone : ZoneDistance::kSameRegion;
  }

  double DistanceCost(const ZoneId& zone) const {
    switch (Distance(query_.own_zone, zone)) {
      case ZoneDistance::kSameZone:
        return 0;
      case ZoneDistance::kSameRegion:
        return costs_.cross_zone;
      case ZoneDistance::kOtherRegion:
        break;
    }
    return costs_.cross_region;
  }

  /// The report of the gateway that tracks the backend server; null if it was not queried or did
  /// not answer.
  const BackendReport* ReportOn(const Backend& backend) const {
    return query_.answers != nullptr ? query_.answers->Find(backend) : nullptr;
  }

  /// Sets the tokens expected in the cache and the cost of fetching the others.
  void EvaluateCache(std::size_t index, Placement& placement) const {
    const std::uint32_t shared = query_.chain->shared_tokens;
    placement.known_tokens = cache_estimates_[index].known_tokens;
    placement.cached_tokens = placement.known_tokens;
    if (shared < kMinFetchTokens) return;
    placement.may_lack_parts = cache_estimates_[index].may_be_evicted;
    if (placement.cached_tokens >= shared) return;
    placement.lacks_parts = true;
    placement.source = BestSource(index);
    if (placement.source) placement.cached_tokens = placement.source->tokens;
    if (index != home_) placement.cost += costs_.copy_token * MissingAt(index);
  }

  /// Shared tokens that the candidate does not have.
  std::uint32_t MissingAt(std::size_t index) const {
    return query_.chain->shared_tokens - cache_estimates_[index].known_tokens;
  }

  /// The source from which the candidate gets the missing parts soonest; nothing if recomputing
  /// them is faster or nobody has them.
  std::optional<CacheSource> BestSource(std::size_t index) const {
    std::optional<CacheSource> best = FromStore(index);
    for (const EngineSource& engine : engine_sources_) {
      if (!MayFetch(index, engine.index)) continue;
      const CacheSource source = FromEngine(index, engine);
      if (!best || SavedMs(index, source) > SavedMs(index, *best)) best = source;
    }
    if (best && SavedMs(index, *best) <= 0) best.reset();
    return best;
  }

  /// Milliseconds saved by fetching from the source instead of recomputing.
  double SavedMs(std::size_t index, const CacheSource& source) const {
    const std::uint32_t tokens = source.tokens - cache_estimates_[index].known_tokens;
    return PrefillTime(*candidates_[index], costs_.reprefill_factor * tokens) - source.ms;
  }

  bool MayFetch(std::size_t to, std::size_t from) const {
    return from != to &&
           cache_estimates_[from].fetchable_tokens > cache_estimates_[to].known_tokens &&
           WeightsOf(*candidates_[from]) == WeightsOf(*candidates_[to]);
  }

  CacheSource FromEngine(std::size_t to, const EngineSource& engine) const {
    const double token_ms =
        query_.engine_ms_per_token > 0 ? query_.engine_ms_per_token : costs_.fetch_token;
    CacheSource source =
        SourceAt(to, candidates_[engine.index]->entry.zone,
                 cache_estimates_[engine.index].fetchable_tokens, token_ms, costs_.fetch_call);
    source.engine = engine.index;
    source.ms += engine.link_wait;
    return source;
  }

  std::optional<CacheSource> FromStore(std::size_t to) const {
    if (!query_.store) return std::nullopt;
    const std::uint32_t tokens = store_tokens_.at(WeightsOf(*candidates_[to]));
    if (tokens <= cache_estimates_[to].known_tokens) return std::nullopt;
    const double token_ms =
        query_.store->ms_per_token > 0 ? query_.store->ms_per_token : costs_.store_token;
    CacheSource source = SourceAt(to, query_.store->zone, tokens, token_ms, costs_.store_call);
    source.ms += store_wait_;
    return source;
  }

  /// Returns a source with its transfer times, assuming that its link is idle.
  CacheSource SourceAt(std::size_t to, const ZoneId& zone, std::uint32_t tokens, double token_ms,
                       double call_ms) const {
    const double distance = TransferFactor(Distance(candidates_[to]->entry.zone, zone));
    CacheSource source;
    source.tokens = tokens;
    source.link_ms = distance * token_ms * (tokens - cache_estimates_[to].known_tokens);
    source.ms = source.link_ms + distance * call_ms;
    return source;
  }

  /// Collects in advance what is the same for all candidates: the engines that parts may be fetched
  /// from, the contents of the store, and the state of their links.
  void FindSources() {
    if (query_.chain->shared_tokens < kMinFetchTokens) return;
    if (query_.store) InspectStore();
    if (query_.store && !costs_.engines_as_sources) return;
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
      const Backend& backend = *candidates_[i];
      const bool usable = !IsAvoided(backend, query_.now) && HasPath(backend) &&
                          !backend.grace_until && !cache_estimates_[i].may_be_evicted &&
                          cache_estimates_[i].fetchable_tokens > 0;
      if (usable) engine_sources_.push_back({i, EngineLinkWait(backend)});
    }
  }

  void InspectStore() {
    store_wait_ = LinkWait(query_.store->link);
    if (const StoreReport* report = StoreReportOrNull()) {
      store_wait_ = std::max(store_wait_, LinkWait(report->link_wait));
    }
    for (const BackendPtr& candidate : candidates_) {
      const auto [entry, is_new] = store_tokens_.try_emplace(WeightsOf(*candidate));
      if (is_new) entry->second = TokensInStore(entry->first);
    }
  }

  const StoreReport* StoreReportOrNull() const {
    return query_.answers != nullptr && query_.answers->store ? &*query_.answers->store : nullptr;
  }

  std::uint32_t TokensInStore(WeightsNumber weights) const {
    if (query_.answers != nullptr) {
      // The query covered only the newest weights.
      const bool answered = StoreReportOrNull() != nullptr && weights == query_.newest_weights;
      return answered ? std::min(StoreReportOrNull()->readable_tokens, query_.chain->shared_tokens)
                      : 0;
    }
    // While an engine is prefilling the parts, no source has them yet.
    if (query_.store->contents == nullptr)
      return prefill_in_progress_ ? 0 : query_.chain->shared_tokens;
    const std::vector<SharedPart> parts = StoredParts(query_.chain->parts, weights);
    return query_.store->contents->Find(parts, costs_.prefill_delay, query_.now).prefilled;
  }

  double EngineLinkWait(const Backend& backend) const {
    const BackendReport* report = ReportOn(backend);
    return report != nullptr ? LinkWait(report->link_wait)
                             : LinkWait(LinkOf(backend.entry.address));
  }

  double LinkWait(LinkHash link) const {
    return query_.links != nullptr ? LinkWait(query_.links->QueueDelay(link, query_.now)) : 0;
  }

  double LinkWait(Duration wait) const {
    if (!costs_.watch_links) return 0;
    return std::chrono::duration<double, std::milli>(wait).count();
  }

  double TokensPerMs() const {
    return query_.tokens_per_ms > 0 ? query_.tokens_per_ms : costs_.prefill_tokens_per_ms;
  }

  double SlownessOf(const Backend& backend) const {
    return query_.uses_performance ? backend.reported_performance.SlownessAt(query_.now) : 1;
  }

  double PrefillTime(const Backend& backend, double tokens) const {
    return SlownessOf(backend) * tokens / TokensPerMs();
  }

  double OwnPrefillTime(const Backend& backend, const Placement& placement) const {
    const std::uint32_t prompt = query_.chain->prompt_tokens;
    return PrefillTime(backend, prompt - std::min(placement.cached_tokens, prompt));
  }

  static double FetchTime(const Placement& placement) {
    return placement.source ? placement.source->ms : 0;
  }

  /// Sets whether the request fits into the engine's memory, and adds the cost if it does not. It
  /// is assumed to fit if nobody reported what the engine holds.
  void EvaluateMemory(const Backend& backend, Placement& placement) const {
    if (!query_.memory) return;
    placement.memory_held = backend.memory_tokens + backend.peers.memory_tokens;
    if (query_.answers != nullptr && ReportOn(backend) == nullptr) return;
    placement.fits = query_.memory->Fits(placement.memory_held, RunningAt(backend));
    if (!placement.fits) placement.cost += costs_.no_room_penalty;
  }

  double RunningCost(const Backend& backend) const {
    return SlownessOf(backend) * costs_.per_running_request *
           FleetTotal(backend.in_flight, backend.peers.running);
  }

  /// The load of all gateways. Gateways that do not report their load are assumed to send as many
  /// requests as this one.
  double FleetTotal(double own, double peers) const {
    return own * (1 + query_.unheard_gateway_ratio) + peers;
  }

  double OlderWeightsCost(const Backend& backend) const {
    if (IsNewest(backend)) return 0;
    const bool recently_ordered =
        query_.newest_announced_at &&
        query_.now - *query_.newest_announced_at < costs_.older_weights_grace;
    return recently_ordered ? 0 : costs_.older_weights;
  }

  WeightsNumber WeightsOf(const Backend& backend) const {
    const auto found = backend.weights.find(query_.model);
    return found == backend.weights.end() ? WeightsNumber() : found->second;
  }

  /// Rendezvous hashing within the ring segment of the prompt's first part. All gateways rank the
  /// candidates alike without communication; the first one is the prompt's home.
  void RankHomes() {
    cache_estimates_.resize(candidates_.size());
    if (query_.chain->parts.empty()) return;
    const std::uint64_t subject = query_.chain->parts.back().hash;
    MarkSegment();
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
      EstimateCache(*candidates_[i], cache_estimates_[i]);
      cache_estimates_[i].rank =
          WeightedRank(Hash(subject, id_hashes_[i]), HomeWeightOf(*candidates_[i]));
      const bool better = home_ == kNone || RanksBefore(i, home_);
      if (better) home_ = i;
      const bool prefilling =
          cache_estimates_[i].known_tokens > cache_estimates_[i].fetchable_tokens;
      prefill_in_progress_ = prefill_in_progress_ || (prefilling && IsNewest(*candidates_[i]));
    }
  }

  double HomeWeightOf(const Backend& backend) const {
    return query_.uses_performance ? backend.reported_performance.HomeWeightAt(query_.now) : 1;
  }

  /// Marks the candidates in the prompt's segment, at least one. The ring is divided evenly among
  /// the candidates, in the order of their ids' hashes.
  void MarkSegment() {
    const auto count = static_cast<double>(candidates_.size());
    std::vector<std::size_t> order(candidates_.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [this](std::size_t a, std::size_t b) { return id_hashes_[a] < id_hashes_[b]; });
    const auto first = static_cast<std::size_t>(query_.segment.begin * count);
    const double end = std::ceil((query_.segment.begin + query_.segment.length) * count);
    const std::size_t last = std::max(first + 1, static_cast<std::size_t>(end));
    for (std::size_t i = first; i < last; ++i)
      cache_estimates_[order[i % order.size()]].in_segment = true;
  }

  bool IsNewest(const Backend& backend) const {
    return !query_.newest_weights || WeightsOf(backend) >= *query_.newest_weights;
  }

  /// Engines with newer weights rank first, because the others lose their cache soon. This does not
  /// apply when only a few of many candidates are polled (HomesOf): the first engines to load new
  /// weights would become the home of all prompts.
  bool RanksBefore(std::size_t a, std::size_t b) const {
    const WeightsNumber weights_of_a = WeightsOf(*candidates_[a]);
    const WeightsNumber weights_of_b = WeightsOf(*candidates_[b]);
    if (query_.answers == nullptr && weights_of_a != weights_of_b)
      return weights_of_a > weights_of_b;
    if (cache_estimates_[a].in_segment != cache_estimates_[b].in_segment)
      return cache_estimates_[a].in_segment;
    return cache_estimates_[a].rank > cache_estimates_[b].rank;
  }

  /// Estimates which of the chain's parts the backend server holds.
  void EstimateCache(const Backend& backend, CacheEstimate& estimate) const {
    const auto match = MatchOn(backend);
    estimate.known_tokens = match.tokens;
    estimate.fetchable_tokens = match.prefilled;
    const double retained_tokens =
        (1 - costs_.eviction_risk_fraction) * static_cast<double>(query_.cache_tokens);
    estimate.may_be_evicted = static_cast<double>(match.used_since) >= retained_tokens;
  }

  EngineCache::PrefixMatch MatchOn(const Backend& backend) const {
    if (query_.answers == nullptr) {
      return backend.cache.Find(query_.chain->parts, costs_.prefill_delay, query_.now);
    }
    const BackendReport* report = ReportOn(backend);
    EngineCache::PrefixMatch match =
        report != nullptr ? report->prefix_match : EngineCache::PrefixMatch();
    // An inconsistent report: the engine may have loaded other weights since.
    if (match.tokens > query_.chain->shared_tokens) match = {};
    return match;
  }

  static constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();

  const PlacementQuery& query_;
  std::span<const BackendPtr> candidates_;
  const PlacementCosts& costs_;
  std::vector<std::uint64_t> id_hashes_;  ///< one for each candidate
  std::vector<CacheEstimate> cache_estimates_;
  std::vector<EngineSource> engine_sources_;
  std::map<WeightsNumber, std::uint32_t> store_tokens_;  ///< of the chain, by weights
  double store_wait_ = 0;                                ///< ms
  std::size_t home_ = kNone;
  bool prefill_in_progress_ = false;  ///< an engine on the newest weights is prefilling the parts
};

}  // namespace

PromptChain PromptChain::Of(const GenerationRequest& request, std::string_view scope) {
  PromptChain chain;
  chain.prompt_tokens = request.prompt_tokens;
  std::uint64_t hash = HashText(scope);
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i + 1 < request.parts.size(); ++i) {
    hash = Hash(hash, request.parts[i].id);
    tokens += request.parts[i].tokens;
    chain.parts.push_back({hash, request.parts[i].tokens});
  }
  chain.shared_tokens = tokens;
  return chain;
}

SharedPart StoredPart(const SharedPart& part, WeightsNumber weights) {
  return {Hash(weights.value(), part.hash), part.tokens};
}

std::vector<SharedPart> StoredParts(std::span<const SharedPart> parts, WeightsNumber weights) {
  std::vector<SharedPart> kept;
  kept.reserve(parts.size());
  for (const SharedPart& part : parts) kept.push_back(StoredPart(part, weights));
  return kept;
}

Placement ChooseBackend(const PlacementQuery& query, std::span<const BackendPtr> candidates,
                        const PlacementCosts& costs) {
  return Chooser(query, candidates, costs).Choose();
}

}  // namespace ridgehold
