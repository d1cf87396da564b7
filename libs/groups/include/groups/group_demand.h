// The load that one gateway's requests put on the engines of a service, by request group.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "base/ids.h"
#include "groups/request_group.h"

namespace ridgehold {

/// The demand of one gateway or of the whole fleet for the engines of one service.
struct DemandSample {
  double interactive_running = 0;  ///< interactive requests in progress
  double interactive_rate = 0;     ///< their prompt tokens to prefill, per second
  double bulk_rate = 0;            ///< the same of the bulk requests
};

/// Whether a sample received from another gateway can be true: finite, not negative, and below a
/// thousand times of what the largest fleets reach.
bool IsPlausible(const DemandSample& sample);

/// Decayed averages of one gateway's own demand. Tokens that the chosen engine is expected to have
/// in its cache, or to fetch, are not counted by the caller. Not thread-safe; the caller passes in
/// the time.
class GroupDemand {
 public:
  /// A gateway sees a few requests per second, so shorter averages would be mostly noise; longer
  /// ones would follow a doubling of the load only after the pauses have grown.
  static constexpr std::chrono::seconds kHalfLife{4};

  /// Records that a request was sent to an engine.
  void OnStart(RequestGroup group, double tokens_to_prefill, TimePoint now);
  /// Records that a request recorded by OnStart has ended.
  void OnEnd(RequestGroup group, TimePoint now);

  /// The averages since the first request, over a second at least.
  DemandSample Sample(TimePoint now) const;

 private:
  void Advance(TimePoint now);

  DemandSample average_;  ///< at `advanced_at_`
  std::uint32_t running_ = 0;
  std::optional<TimePoint> started_at_;  ///< of the first request
  TimePoint advanced_at_{};
};

}  // namespace ridgehold
