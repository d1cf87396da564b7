// The few backend servers that a gateway of a large fleet asks about before it places a request.

#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "base/ids.h"
#include "gateway/placement.h"

namespace ridgehold {

/// What the list is made for.
struct ShortlistQuery {
  ZoneId own_zone;
  std::uint64_t gateway = 0;           ///< hash that differs by gateway
  const PromptChain* chain = nullptr;  ///< null for calls of plain services
  ModelId model;
  std::optional<WeightsNumber> newest_weights;
  RingSegment segment;            ///< of the engines that keep the prompt's beginning
  std::uint64_t random_seed = 0;  ///< differs by request
  TimePoint now{};
};

/// How many of each kind are asked about. A question costs a datagram each way,
/// so few; two drawn ones are as good as knowing the least busy of many
/// (the power of two choices).
struct ShortlistSizes {
  std::size_t homes = 2;         ///< of a prompt that shares much, over all zones
  std::size_t random_picks = 2;  ///< of the own zone, beside them
  /// Engines of the own zone that a gateway uses for prompts that share little
  /// and for plain calls; so few that connections there are used again before
  /// servers close them.
  std::size_t subset_size = 6;
  std::size_t subset_sample = 3;  ///< of these, drawn for each request
  std::size_t extension = 4;      ///< more of all zones, when all of the first are busy
};

/// Candidates by rank of rendezvous hashing for the prompt, without regard to
/// weights, the best first: prompts keep their homes while weights are loaded.
/// Those whose hash lies in `segment` come before all others.
std::vector<BackendPtr> HomesOf(const PromptChain& chain, const RingSegment& segment,
                                std::span<const BackendPtr> candidates, std::size_t count);

/// Whom to ask about first; at least one if there are `candidates`. Those that
/// are to be avoided as far as is known here only when there are no others. Pure.
std::vector<BackendPtr> Shortlist(const ShortlistQuery& query,
                                  std::span<const BackendPtr> candidates,
                                  const ShortlistSizes& sizes = {});

/// More candidates of all zones, drawn, without those in `listed`. Pure.
std::vector<BackendPtr> ExtendShortlist(const ShortlistQuery& query,
                                        std::span<const BackendPtr> candidates,
                                        std::span<const BackendPtr> polled,
                                        const ShortlistSizes& sizes = {});

}  // namespace ridgehold
