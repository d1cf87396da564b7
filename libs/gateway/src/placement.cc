#include "gateway/placement.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace ridgehold {
namespace {

// Bounds what is remembered of one backend server; 104 subjects and 4 rule sets are today's size.
constexpr std::size_t kMostRemembered = 2'000;
// A backend server that was just tried without success is chosen last.
constexpr double kAvoided = 5'000;
// Parts shorter than this are not worth sending a request out of its way.
constexpr std::uint32_t kWorthSharing = 256;

std::uint64_t Hash(std::uint64_t seed, std::uint64_t value) {
  return XXH3_64bits_withSeed(&value, sizeof value, seed);
}

std::uint64_t HashText(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

std::uint32_t KnownCachedTokens(const Backend& backend, const PromptChain& chain,
                                const PlacementQuery& query, const PlacementWeights& weights) {
  std::uint32_t tokens = 0;
  for (const PromptChain::Link& link : chain.links) {
    const auto found = backend.cached_parts.find(link.hash);
    const bool fresh =
        found != backend.cached_parts.end() && query.now - found->second < weights.cache_life;
    if (!fresh) break;
    tokens = link.tokens_up_to;
  }
  return tokens;
}

/// The backend server on which all gateways, without talking, agree to keep a
/// prompt's shared parts: the highest of hashes of both (rendezvous hashing).
std::size_t HomeOf(const PromptChain& chain, std::span<const BackendPtr> candidates) {
  std::size_t home = candidates.size();
  if (chain.links.empty() || chain.links.back().tokens_up_to < kWorthSharing) return home;
  std::uint64_t best = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::uint64_t rank =
        Hash(chain.links.back().hash, HashText(candidates[i]->entry.id.value()));
    if (home != candidates.size() && rank <= best) continue;
    best = rank;
    home = i;
  }
  return home;
}

double CostOfModel(const PlacementQuery& query, const Backend& backend, std::uint32_t cached,
                   const PlacementWeights& weights) {
  const double others = static_cast<double>(query.gateways);
  const double ahead = backend.unprefilled_tokens * std::max(1.0, others / 2);
  const double own = query.chain->prompt_tokens - std::min(cached, query.chain->prompt_tokens);
  double cost = (ahead + own) / weights.prefill_tokens_per_ms;
  cost += weights.per_running_request * backend.in_flight * others;
  const auto version = backend.weights.find(query.model);
  const bool older = query.newest_weights && version != backend.weights.end() &&
                     version->second < *query.newest_weights;
  return older ? cost + weights.older_weights : cost;
}

}  // namespace

PromptChain PromptChain::Of(const GenerationRequest& request, std::string_view scope) {
  PromptChain chain;
  chain.prompt_tokens = request.prompt_tokens;
  std::uint64_t hash = HashText(scope);
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i + 1 < request.parts.size(); ++i) {
    hash = Hash(hash, request.parts[i].id);
    tokens += request.parts[i].tokens;
    chain.links.push_back({hash, tokens});
  }
  return chain;
}

Placement ChooseBackend(const PlacementQuery& query, std::span<const BackendPtr> candidates,
                        const PlacementWeights& weights) {
  const std::size_t home =
      query.chain != nullptr ? HomeOf(*query.chain, candidates) : candidates.size();
  Placement best;
  best.cost = std::numeric_limits<double>::max();
  std::uint64_t best_tie = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const Backend& backend = *candidates[i];
    double cost = backend.error_rate * weights.failing;
    std::uint32_t cached = 0;
    if (query.chain != nullptr) {
      cached = i == home ? query.chain->links.back().tokens_up_to
                         : KnownCachedTokens(backend, *query.chain, query, weights);
      cost += CostOfModel(query, backend, cached, weights);
    } else {
      cost += weights.per_running_call * backend.in_flight;
    }
    if (backend.entry.zone != query.own_zone) cost += weights.other_zone;
    if (backend.avoid_until > query.now) cost += kAvoided;
    if (backend.missing_until) cost += kAvoided / 2;
    const std::uint64_t tie = Hash(query.tie_break, HashText(backend.entry.id.value()));
    if (cost > best.cost || (cost == best.cost && tie <= best_tie)) continue;
    best = {i, cost, cached};
    best_tie = tie;
  }
  return best;
}

void RememberParts(Backend& backend, const PromptChain& chain, TimePoint now) {
  if (backend.cached_parts.size() > kMostRemembered) backend.cached_parts.clear();
  for (const PromptChain::Link& link : chain.links) backend.cached_parts[link.hash] = now;
}

}  // namespace ridgehold
