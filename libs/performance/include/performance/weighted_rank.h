// Weighted rendezvous hashing.

#pragma once

#include <cstdint>

namespace ridgehold {

/// The rank of a node with this hash of subject and node; each node is the first of a share of
/// subjects in proportion to its weight, in (0, 1]. If a weight changes, only the share that must
/// move does. The order is that of `-weight / ln(u)`, u being the hash as a fraction; with weight 1
/// the rank is the hash itself, so that nodes of equal weight rank as without weights.
std::uint64_t WeightedRank(std::uint64_t hash, double weight);

}  // namespace ridgehold
