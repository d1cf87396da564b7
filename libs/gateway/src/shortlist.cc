#include "gateway/shortlist.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace ridgehold {
namespace {

using Backends = std::vector<BackendPtr>;

std::uint64_t Hash(std::uint64_t seed, std::uint64_t value) {
  return XXH3_64bits_withSeed(&value, sizeof value, seed);
}

/// Salts, so that ranks for different purposes differ.
constexpr std::uint64_t kUsualSalt = 0x75737561;
constexpr std::uint64_t kWidenSalt = 0x77696465;

/// Whether the segment has the point that a hash stands for.
bool IsIn(const RingSegment& segment, std::uint64_t hash) {
  constexpr double kHashes = 18'446'744'073'709'551'616.0;  // 2^64
  double from_begin = static_cast<double>(hash) / kHashes - segment.begin;
  if (from_begin < 0) from_begin += 1;
  return from_begin < segment.length;
}

/// The first `count` by rank, the highest first.
template <class Rank>
Backends Best(std::span<const BackendPtr> candidates, std::size_t count, Rank&& rank) {
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
Backends Those(std::span<const BackendPtr> candidates, Condition&& holds) {
  Backends chosen;
  for (const BackendPtr& candidate : candidates) {
    if (holds(*candidate)) chosen.push_back(candidate);
  }
  return chosen;
}

bool Contains(std::span<const BackendPtr> list, const Backend& backend) {
  return std::ranges::any_of(list, [&](const BackendPtr& one) { return one.get() == &backend; });
}

Backends Without(std::span<const BackendPtr> candidates, std::span<const BackendPtr> left_out) {
  return Those(candidates, [&](const Backend& backend) { return !Contains(left_out, backend); });
}

void Append(Backends& list, const Backends& more) {
  list.insert(list.end(), more.begin(), more.end());
}

/// Drawn evenly, another set for each `draw`.
Backends Drawn(std::uint64_t draw, std::span<const BackendPtr> candidates, std::size_t count) {
  return Best(candidates, count,
              [&](const Backend& backend) { return Hash(draw, HashOf(backend.entry.id)); });
}

/// What nothing known here speaks against; all, if something does everywhere.
Backends Sound(const ShortlistQuery& query, std::span<const BackendPtr> candidates) {
  Backends sound = Those(candidates, [&](const Backend& backend) {
    return backend.reachable && !backend.grace_until && !IsAvoided(backend, query.now) &&
           backend.hold_until <= query.now;
  });
  if (sound.empty()) sound.assign(candidates.begin(), candidates.end());
  return sound;
}

Backends OfZone(const ZoneId& zone, std::span<const BackendPtr> candidates) {
  return Those(candidates, [&](const Backend& backend) { return backend.entry.zone == zone; });
}

bool HasWeights(const Backend& backend, const ModelId& model, WeightsNumber weights) {
  const auto found = backend.weights.find(model);
  return found != backend.weights.end() && found->second >= weights;
}

bool SharesMuch(const ShortlistQuery& query) {
  return query.chain != nullptr && query.chain->shared_tokens >= kMinFetchTokens;
}

Backends ForSharedPrompt(const ShortlistQuery& query, std::span<const BackendPtr> sound,
                         const ShortlistSizes& sizes) {
  const Backends loaded = Those(sound, [&](const Backend& backend) {
    return !query.newest_weights || HasWeights(backend, query.model, *query.newest_weights);
  });
  // Half of the engines can take all prompts at the usual load, and what is made on
  // older weights is worth less.
  const bool most_loaded = 2 * loaded.size() >= sound.size();
  const std::span<const BackendPtr> pool = most_loaded ? std::span(loaded) : sound;
  Backends list = HomesOf(*query.chain, query.segment, pool, sizes.homes);
  // While few have loaded them, the first of those is the next home.
  if (!most_loaded) Append(list, Without(HomesOf(*query.chain, query.segment, loaded, 1), list));
  const Backends others = Without(OfZone(query.own_zone, pool), list);
  Append(list, Drawn(query.draw, others, sizes.random_picks));
  return list;
}

Backends ForUsual(const ShortlistQuery& query, std::span<const BackendPtr> sound,
                  const ShortlistSizes& sizes) {
  const std::uint64_t seed = Hash(query.gateway, kUsualSalt);
  const auto rank = [&](const Backend& backend) { return Hash(seed, HashOf(backend.entry.id)); };
  const Backends subset = Best(OfZone(query.own_zone, sound), sizes.subset_size, rank);
  Backends list = Drawn(query.draw, subset, sizes.subset_sample);
  if (list.size() >= sizes.subset_sample) return list;
  // The own zone has few: the same ones of other zones each time.
  Append(list, Best(Without(sound, list), sizes.subset_sample - list.size(), rank));
  return list;
}

}  // namespace

std::vector<BackendPtr> HomesOf(const PromptChain& chain, const RingSegment& segment,
                                std::span<const BackendPtr> candidates, std::size_t count) {
  if (chain.parts.empty()) return {};
  const std::uint64_t subject = chain.parts.back().hash;
  // A rare beginning has one engine or two, and not now this, now that one.
  constexpr double kLeastEngines = 1.5;
  RingSegment wide = segment;
  wide.length = std::max(wide.length, kLeastEngines / static_cast<double>(candidates.size() + 1));
  return Best(candidates, count, [&](const Backend& backend) {
    const std::uint64_t hash = HashOf(backend.entry.id);
    return std::pair(IsIn(wide, hash), Hash(subject, hash));
  });
}

std::vector<BackendPtr> Shortlist(const ShortlistQuery& query,
                                  std::span<const BackendPtr> candidates,
                                  const ShortlistSizes& sizes) {
  const Backends sound = Sound(query, candidates);
  return SharesMuch(query) ? ForSharedPrompt(query, sound, sizes) : ForUsual(query, sound, sizes);
}

std::vector<BackendPtr> ExtendShortlist(const ShortlistQuery& query,
                                        std::span<const BackendPtr> candidates,
                                        std::span<const BackendPtr> listed,
                                        const ShortlistSizes& sizes) {
  const Backends others = Without(Sound(query, candidates), listed);
  return Drawn(Hash(query.draw, kWidenSalt), others, sizes.extension);
}

}  // namespace ridgehold
