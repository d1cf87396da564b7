#include "gateway/shortlist.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <type_traits>
#include <utility>

#include "performance/weighted_rank.h"

namespace ridgehold {
namespace {

using Backends = std::vector<BackendPtr>;

std::uint64_t Hash(std::uint64_t seed, std::uint64_t value) {
  return XXH3_64bits_withSeed(&value, sizeof value, seed);
}

/// Salts that make the ranks for different purposes independent.
constexpr std::uint64_t kSubsetSalt = 0x75737561;
constexpr std::uint64_t kExtensionSalt = 0x77696465;

/// Whether the segment contains the ring position of a hash.
bool IsInSegment(const RingSegment& segment, std::uint64_t hash) {
  constexpr double kHashes = 18'446'744'073'709'551'616.0;  // 2^64
  double from_begin = static_cast<double>(hash) / kHashes - segment.begin;
  if (from_begin < 0) from_begin += 1;
  return from_begin < segment.length;
}

/// The `count` candidates of the highest rank, in descending order.
template <class Rank>
Backends TopRanked(std::span<const BackendPtr> candidates, std::size_t count, Rank&& rank) {
  using Ranked = std::pair<std::invoke_result_t<Rank, const Backend&>, const BackendPtr*>;
  std::vector<Ranked> ranked;
  ranked.reserve(candidates.size());
  for (const BackendPtr& candidate : candidates) ranked.emplace_back(rank(*candidate), &candidate);
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
  std::partial_sort(ranked.begin(), end, ranked.end(),
                    [](const Ranked& a, const Ranked& b) { return a.first > b.first; });
  Backends best;
  for (auto at = ranked.begin(); at != end; ++at) best.push_back(*at->second);
  return best;
}

template <class Condition>
Backends Filter(std::span<const BackendPtr> candidates, Condition&& predicate) {
  Backends chosen;
  for (const BackendPtr& candidate : candidates) {
    if (predicate(*candidate)) chosen.push_back(candidate);
  }
  return chosen;
}

bool Contains(std::span<const BackendPtr> list, const Backend& backend) {
  return std::ranges::any_of(list, [&](const BackendPtr& one) { return one.get() == &backend; });
}

Backends Excluding(std::span<const BackendPtr> candidates, std::span<const BackendPtr> excluded) {
  return Filter(candidates, [&](const Backend& backend) { return !Contains(excluded, backend); });
}

void Append(Backends& list, const Backends& more) {
  list.insert(list.end(), more.begin(), more.end());
}

/// A uniform random sample, determined by `random_seed`.
Backends Sample(std::uint64_t random_seed, std::span<const BackendPtr> candidates,
                std::size_t count) {
  return TopRanked(candidates, count, [&](const Backend& backend) {
    return Hash(random_seed, HashOf(backend.entry.id));
  });
}

/// The candidates without any known problem; all candidates if each has one.
Backends Healthy(const ShortlistQuery& query, std::span<const BackendPtr> candidates) {
  Backends healthy = Filter(candidates, [&](const Backend& backend) {
    return HasPath(backend) && !backend.grace_until && !IsAvoided(backend, query.now) &&
           backend.hold_until <= query.now;
  });
  if (healthy.empty()) healthy.assign(candidates.begin(), candidates.end());
  return healthy;
}

Backends OfZone(const ZoneId& zone, std::span<const BackendPtr> candidates) {
  return Filter(candidates, [&](const Backend& backend) { return backend.entry.zone == zone; });
}

bool HasWeights(const Backend& backend, const ModelId& model, WeightsNumber weights) {
  const auto found = backend.weights.find(model);
  return found != backend.weights.end() && found->second >= weights;
}

bool HasLongPrefix(const ShortlistQuery& query) {
  return query.chain != nullptr && query.chain->shared_tokens >= kMinFetchTokens;
}

/// The candidates of the request's group; all of them if it has none.
Backends OfGroup(const ShortlistQuery& query, Backends candidates) {
  if (!query.group) return candidates;
  Backends own =
      Filter(candidates, [&](const Backend& backend) { return IsOfGroup(query.group, backend); });
  return own.empty() ? candidates : own;
}

/// The interactive group is small and its prompts are short, so that spreading the load evenly
/// matters more than cached parts. Members of other zones are added if the own zone has too few.
Backends ForInteractive(const ShortlistQuery& query, std::span<const BackendPtr> members,
                        const ShortlistSizes& sizes) {
  Backends list = Sample(query.random_seed, OfZone(query.own_zone, members), sizes.members);
  if (list.size() >= sizes.members) return list;
  Append(list, Sample(query.random_seed, Excluding(members, list), sizes.members - list.size()));
  return list;
}

Backends ForLongPrefix(const ShortlistQuery& query, std::span<const BackendPtr> healthy,
                       const ShortlistSizes& sizes) {
  const Backends loaded = Filter(healthy, [&](const Backend& backend) {
    return !query.newest_weights || HasWeights(backend, query.model, *query.newest_weights);
  });
  // Half of the engines can take all prompts at the usual load, and output on older weights is
  // worth less.
  const bool half_loaded = 2 * loaded.size() >= healthy.size();
  const std::span<const BackendPtr> pool = half_loaded ? std::span(loaded) : healthy;
  const auto weighed_at = query.weighs_homes ? std::optional(query.now) : std::nullopt;
  Backends list = HomesOf(*query.chain, query.segment, pool, sizes.homes, weighed_at);
  // While fewer than half have loaded the newest weights, the best-ranked one of those is added as
  // one more home.
  if (!half_loaded) {
    Append(list, Excluding(HomesOf(*query.chain, query.segment, loaded, 1, weighed_at), list));
  }
  const Backends others = Excluding(OfZone(query.own_zone, pool), list);
  Append(list, Sample(query.random_seed, others, sizes.random_picks));
  return list;
}

Backends ForSubset(const ShortlistQuery& query, std::span<const BackendPtr> healthy,
                   const ShortlistSizes& sizes) {
  const std::uint64_t seed = Hash(query.gateway, kSubsetSalt);
  const auto rank = [&](const Backend& backend) { return Hash(seed, HashOf(backend.entry.id)); };
  const Backends subset = TopRanked(OfZone(query.own_zone, healthy), sizes.subset_size, rank);
  Backends list = Sample(query.random_seed, subset, sizes.subset_sample);
  if (list.size() >= sizes.subset_sample) return list;
  // The own zone has too few engines: add a fixed set from other zones.
  Append(list, TopRanked(Excluding(healthy, list), sizes.subset_sample - list.size(), rank));
  return list;
}

}  // namespace

std::vector<BackendPtr> HomesOf(const PromptChain& chain, const RingSegment& segment,
                                std::span<const BackendPtr> candidates, std::size_t count,
                                std::optional<TimePoint> weighed_at) {
  if (chain.parts.empty()) return {};
  const std::uint64_t subject = chain.parts.back().hash;
  // Prompts with a rare first part stay on one or two engines instead of alternating between
  // several.
  constexpr double kMinEngines = 1.5;
  RingSegment widened = segment;
  widened.length =
      std::max(widened.length, kMinEngines / static_cast<double>(candidates.size() + 1));
  return TopRanked(candidates, count, [&](const Backend& backend) {
    const std::uint64_t hash = HashOf(backend.entry.id);
    const double weight = weighed_at ? backend.reported_performance.HomeWeightAt(*weighed_at) : 1;
    return std::pair(IsInSegment(widened, hash), WeightedRank(Hash(subject, hash), weight));
  });
}

bool IsOfGroup(const std::optional<RequestGroup>& group, const Backend& backend) {
  return !group || backend.in_interactive_group == (*group == RequestGroup::kInteractive);
}

std::vector<BackendPtr> Shortlist(const ShortlistQuery& query,
                                  std::span<const BackendPtr> candidates,
                                  const ShortlistSizes& sizes) {
  const Backends healthy = OfGroup(query, Healthy(query, candidates));
  const bool interactive = query.group == RequestGroup::kInteractive;
  if (interactive && !healthy.empty() && IsOfGroup(query.group, *healthy.front())) {
    return ForInteractive(query, healthy, sizes);
  }
  return HasLongPrefix(query) ? ForLongPrefix(query, healthy, sizes)
                              : ForSubset(query, healthy, sizes);
}

std::vector<BackendPtr> ExtendShortlist(const ShortlistQuery& query,
                                        std::span<const BackendPtr> candidates,
                                        std::span<const BackendPtr> polled,
                                        const ShortlistSizes& sizes) {
  const Backends others = Excluding(OfGroup(query, Healthy(query, candidates)), polled);
  return Sample(Hash(query.random_seed, kExtensionSalt), others, sizes.extension);
}

}  // namespace ridgehold
