// Options of the rollout of weights.

#pragma once

#include <chrono>
#include <cstdint>

#include "base/ids.h"

namespace ridgehold {

/// Time limits, intervals and concurrency of a rollout. Durations quoted below were observed on the
/// platform's sites.
struct RolloutOptions {
  DaemonId self;
  /// One of this many engines of a service loads at a time, unless the deadline requires more.
  std::uint32_t engines_per_load = 5;
  /// If false, requests are aborted for loads even if no retry budget is left for them.
  bool preserve_retry_budget = true;
  /// If false, measured load durations do not limit the concurrency that a near deadline asks for.
  bool limit_by_measured_loads = true;
  /// Interval between checks for outdated engines.
  std::chrono::milliseconds poll_interval{50};
  /// Interval between status requests to an engine that is loading.
  std::chrono::milliseconds load_poll_interval{100};
  /// Delay before the first status request to an engine that is loading. A load takes 0.76 s or
  /// more on the platform's sites.
  std::chrono::milliseconds first_load_poll{600};
  /// Time from the order to the report that the load is done: 1.05 s to 1.15 s on the platform's
  /// sites if no request has to end first.
  std::chrono::milliseconds expected_load_time{1'150};
  /// A load that has not been reported as done after this time is abandoned and scheduled again.
  std::chrono::milliseconds load_timeout{6'000};
  /// Time until a hold on an engine has reached all instances. A held engine gets no new requests.
  std::chrono::milliseconds hold_propagation{80};
  /// Longest drain for requests that cannot be resumed at another engine.
  std::chrono::milliseconds max_drain{1'500};
  /// The limit that replaces `max_drain` when all engines are busy; the limit for a lower load lies
  /// in between. A drained engine serves no requests, and in this time it could prefill one to two
  /// long prompts.
  std::chrono::milliseconds min_drain{300};
  /// Requests may finish before a load only if they are expected to take no longer than
  /// `max_expected_finish`, and only if `worst_case_finish` is left before the deadline. The engine
  /// accepts nothing meanwhile: overloaded ones took 4.0 s to 4.8 s, half of it for the last few
  /// requests.
  std::chrono::milliseconds max_expected_finish{1'000};
  std::chrono::milliseconds worst_case_finish{5'000};
  /// The last load is planned to end this long before the older weights become too old for new
  /// requests.
  std::chrono::milliseconds deadline_margin{1'000};
  /// Duration of one hold, which is renewed while the step lasts. It expires by itself if this
  /// instance dies.
  std::chrono::milliseconds hold_duration{4'000};
  /// An engine that is alive answers within this time; one that takes longer does not count against
  /// the concurrency limit.
  std::chrono::milliseconds prompt_response_time{100};
  /// An engine that gave no report is not tried again for this long.
  std::chrono::milliseconds unresponsive_backoff{1'000};
  /// For this long after the process has started, weights whose naming time is unknown have no
  /// deadline; in the meantime other instances may report the time.
  std::chrono::milliseconds assumed_age_grace{1'000};
};

}  // namespace ridgehold
