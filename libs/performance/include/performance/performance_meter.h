// Normalizes what one gateway observes of a service's engines, so that engines can be compared.

#pragma once

#include <array>
#include <optional>

#include "base/ids.h"
#include "groups/request_group.h"
#include "performance/performance_update.h"

namespace ridgehold {

/// For a service on engines of uneven speed: some run at less than half the speed of the others,
/// which the service's one prefill rate does not show. Pauses and waits also differ between kinds
/// of requests and change with the load, so each observation is compared with the recent average of
/// its request group at this gateway. Not thread-safe.
class PerformanceMeter {
 public:
  /// Weight that the older samples keep with each new one. A hundred samples are 7 to 20 s of one
  /// gateway's traffic and know the average to about a tenth.
  static constexpr double kDecay = 0.99;
  /// Below this number of samples the average says too little to compare with.
  static constexpr double kMinSamples = 16;
  /// Attempts with fewer tokens to prefill measure round trips and decode steps instead.
  static constexpr double kMinPrefillTokens = 1'000;

  /// Records the pause between two events of a stream. Returns the sample to report; nothing for
  /// bulk requests, whose few events follow their own long prefill, or as long as the average is
  /// not known.
  std::optional<PerformanceSample> RecordPause(RequestGroup group, Duration pause);

  /// Records that the first event of a request came after `observed`, where the service's prefill
  /// rate and the queue let expect `expected`. Requests with fewer than kMinPrefillTokens to
  /// prefill, or with a fetch, must not be recorded.
  std::optional<PerformanceSample> RecordFirstEvent(RequestGroup group, Duration expected,
                                                    Duration observed);

  /// The average pause of the group's streams in milliseconds; 0 if not known.
  double AveragePause(RequestGroup group) const;

 private:
  /// A decayed average of observations relative to their expectations.
  class Average {
   public:
    /// Returns the observation with its expectation corrected by the average before it.
    std::optional<PerformanceSample> Record(double expected_ms, double observed_ms);
    /// Observed / expected; 0 if not known.
    double ratio() const;

   private:
    double samples_ = 0;
    double expected_ms_ = 0;
    double observed_ms_ = 0;
  };
  struct Group {
    Average pause;        ///< relative to 1 ms
    Average first_event;  ///< relative to the expected wait
  };

  Group& GroupOf(RequestGroup group) { return groups_[static_cast<std::size_t>(group)]; }

  std::array<Group, 2> groups_;  ///< by RequestGroup
};

}  // namespace ridgehold
