// The concept of a routing policy, and the policies.

#pragma once

#include <concepts>
#include <cstddef>
#include <span>

#include "routing/candidate.h"

namespace ridgehold {

/// Chooses one of the candidates, which are never none. Pure: equal queries
/// and candidates give equal choices.
template <class Policy>
concept RoutingPolicy = requires(const Policy& policy, const RouteQuery& query,
                                 std::span<const Candidate> candidates) {
  { policy.Choose(query, candidates) } -> std::same_as<std::size_t>;
};

/// Baseline: one after the other.
struct RoundRobin {
  std::size_t Choose(const RouteQuery& query, std::span<const Candidate> candidates) const;
};

/// Baseline: the fewest prompt tokens and streams ahead.
struct LeastLoaded {
  std::size_t Choose(const RouteQuery& query, std::span<const Candidate> candidates) const;
};

/// Baseline: rendezvous hashing of the prompt's first blocks, whatever the load.
struct PrefixHash {
  /// Deep enough to part the tenants, shallow enough to join their sites.
  static constexpr std::size_t kDepth = 16;

  std::size_t Choose(const RouteQuery& query, std::span<const Candidate> candidates) const;
};

/// The least expected time to first token, plus a price for the prefill work
/// itself: recomputing delays later requests and evicts what others use. The
/// price rises with the work that even the least busy engine has ahead, for
/// then a recomputed prefix takes the place of requests that wait.
struct PrefixCost {
  /// Price of a microsecond of prefill, beyond the time it takes, on idle engines.
  double waste_weight = 1.0;
  /// The price grows by one for each such stretch of work ahead everywhere.
  Duration scarcity_step{50'000};
  /// Expected times closer than this count as equal; the rendezvous order of
  /// the prompt's first blocks then decides, alike on all daemons.
  Duration indifference{3'000};

  std::size_t Choose(const RouteQuery& query, std::span<const Candidate> candidates) const;
};

static_assert(RoutingPolicy<RoundRobin>);
static_assert(RoutingPolicy<LeastLoaded>);
static_assert(RoutingPolicy<PrefixHash>);
static_assert(RoutingPolicy<PrefixCost>);

}  // namespace ridgehold
