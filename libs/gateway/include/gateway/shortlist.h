// Selects the few backend servers that a gateway in a large fleet polls before it places a request.

#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "base/ids.h"
#include "gateway/placement.h"
#include "groups/request_group.h"

namespace ridgehold {

/// The request and the state that a shortlist is made for.
struct ShortlistQuery {
  ZoneId own_zone;
  std::uint64_t gateway = 0;           ///< hash that identifies this gateway
  const PromptChain* chain = nullptr;  ///< null for calls to plain services
  ModelId model;
  std::optional<WeightsNumber> newest_weights;
  RingSegment segment;            ///< engines responsible for the prompt's first part
  std::uint64_t random_seed = 0;  ///< differs for each request
  bool weighs_homes = false;      ///< whether homes depend on the speed of the engines
  TimePoint now{};
  /// How the request is placed; nothing if the engines are not divided into groups. A request that
  /// finds no candidate in its group uses any.
  std::optional<RequestGroup> group;
};

/// How many candidates of each kind are polled. A query costs one datagram each way, so the numbers
/// are small; two random candidates perform almost as well as knowing the least loaded of many (the
/// power of two choices).
struct ShortlistSizes {
  std::size_t homes = 2;         ///< homes of a prompt with a long shared prefix, in any zone
  std::size_t random_picks = 2;  ///< random candidates of the own zone, besides the homes
  /// Engines of the own zone that a gateway uses for short prefixes and plain calls (deterministic
  /// subsetting); few enough that connections are reused before servers close them.
  std::size_t subset_size = 6;
  std::size_t subset_sample = 3;  ///< of these, polled for each request
  std::size_t extension = 4;      ///< of any zone, if all of the first ones are busy
  std::size_t members = 3;        ///< random members of the interactive group
};

/// The first `count` candidates in the order of rendezvous hashing for the prompt. Weights are
/// ignored, so that prompts keep their homes while weights are loaded. Candidates whose hash lies
/// in `segment` precede all others. With `weighed_at`, engines are homes of prompts in proportion
/// to the home weights known at that time.
std::vector<BackendPtr> HomesOf(const PromptChain& chain, const RingSegment& segment,
                                std::span<const BackendPtr> candidates, std::size_t count,
                                std::optional<TimePoint> weighed_at = std::nullopt);

/// The candidates to poll first; at least one if `candidates` is not empty. Candidates known to be
/// unhealthy are used only if there are no others. Pure.
std::vector<BackendPtr> Shortlist(const ShortlistQuery& query,
                                  std::span<const BackendPtr> candidates,
                                  const ShortlistSizes& sizes = {});

/// Whether the backend server is in the part of the engines that requests of the group are placed
/// on; true if they are not divided.
bool IsOfGroup(const std::optional<RequestGroup>& group, const Backend& backend);

/// More random candidates of any zone and of the request's group, without those in `polled`. Pure.
std::vector<BackendPtr> ExtendShortlist(const ShortlistQuery& query,
                                        std::span<const BackendPtr> candidates,
                                        std::span<const BackendPtr> polled,
                                        const ShortlistSizes& sizes = {});

}  // namespace ridgehold
