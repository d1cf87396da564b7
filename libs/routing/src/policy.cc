#include "routing/policy.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <vector>

namespace ridgehold {
namespace {

constexpr double kMicrosPerSecond = 1e6;

/// A running stream slows the others' decode; in prompt tokens' worth.
constexpr double kTokensPerRunningStream = 4;

double Load(const Candidate& candidate) {
  return candidate.queued_tokens + kTokensPerRunningStream * candidate.running;
}

/// Rendezvous (highest random weight) score: each daemon computes the same.
std::uint64_t Score(BlockHash key, const Candidate& candidate) {
  const std::array<std::uint64_t, 2> both = {key, candidate.identity};
  return XXH3_64bits(both.data(), sizeof(both));
}

BlockHash PlacementKey(std::span<const BlockHash> chain, std::size_t depth) {
  if (chain.empty()) return 0;
  return chain[std::min(depth, chain.size()) - 1];
}

Duration Micros(double micros) { return Duration(static_cast<std::int64_t>(micros)); }

}  // namespace

Expectation Expect(const RouteQuery& query, const Candidate& candidate) {
  const double cached = static_cast<double>(candidate.cached_blocks) * kBlockTokens;
  const double uncached = std::max(0.0, static_cast<double>(query.prompt_tokens) - cached);
  const double micros_per_token = kMicrosPerSecond / candidate.prefill_tokens_per_s;
  Expectation expectation;
  expectation.wait = Micros(Load(candidate) * micros_per_token);
  expectation.prefill = Micros(uncached * micros_per_token);
  expectation.distance = candidate.distance;
  return expectation;
}

std::size_t RoundRobin::Choose(const RouteQuery& query,
                               std::span<const Candidate> candidates) const {
  return query.sequence % candidates.size();
}

std::size_t LeastLoaded::Choose(const RouteQuery& query,
                                std::span<const Candidate> candidates) const {
  // Ties start from another place each time, else the first server gets all.
  const std::size_t start = query.sequence % candidates.size();
  std::size_t best = start;
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    const std::size_t at = (start + i) % candidates.size();
    if (Load(candidates[at]) < Load(candidates[best])) best = at;
  }
  return best;
}

std::size_t PrefixHash::Choose(const RouteQuery& query,
                               std::span<const Candidate> candidates) const {
  const BlockHash key = PlacementKey(query.chain, kDepth);
  const auto best = std::ranges::max_element(
      candidates, {}, [&](const Candidate& candidate) { return Score(key, candidate); });
  return static_cast<std::size_t>(best - candidates.begin());
}

std::size_t PrefixCost::Choose(const RouteQuery& query,
                               std::span<const Candidate> candidates) const {
  std::vector<Expectation> expected;
  expected.reserve(candidates.size());
  Duration least_wait = Duration::max();
  for (const Candidate& candidate : candidates) {
    expected.push_back(Expect(query, candidate));
    least_wait = std::min(least_wait, expected.back().wait);
  }
  const double scarcity =
      static_cast<double>(least_wait.count()) / static_cast<double>(scarcity_step.count());
  const double weight = waste_weight + scarcity;
  const auto price = [&](const Expectation& time) {
    return time.total() + Micros(weight * static_cast<double>(time.prefill.count()));
  };
  Duration least = Duration::max();
  for (const Expectation& time : expected) least = std::min(least, price(time));
  const BlockHash key = PlacementKey(query.chain, PrefixHash::kDepth);
  std::size_t best = candidates.size();
  std::uint64_t best_score = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (price(expected[i]) > least + indifference) continue;
    const std::uint64_t score = Score(key, candidates[i]);
    if (best != candidates.size() && score <= best_score) continue;
    best = i;
    best_score = score;
  }
  return best;
}

}  // namespace ridgehold
