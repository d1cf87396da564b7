// What a rollout of weights may take, and how many engines it has load at once.

#pragma once

#include <chrono>
#include <cstdint>

#include "base/ids.h"

namespace ridgehold {

/// How a rollout of weights goes on; times are as seen on the platform's sites.
struct RolloutOptions {
  DaemonId self;
  /// One engine of so many loads at a time.
  std::uint32_t engines_per_load = 5;
  /// Off: runs are broken off for loads whether or not retries are left.
  bool preserve_retry_budget = true;
  /// Off: the hurry before a bound is not limited by what loads were seen to take.
  bool limit_by_measured_loads = true;
  /// Between looks for work.
  std::chrono::milliseconds poll_interval{50};
  /// Between looks at an engine that is loading, and when the first is due.
  std::chrono::milliseconds load_poll_interval{100};
  /// A load takes 0.76 s or more on the platform's sites.
  std::chrono::milliseconds first_load_poll{600};
  /// An order and the report that it is done, 1.05 s to 1.15 s on the
  /// platform's sites when no run has to end first.
  std::chrono::milliseconds expected_load{1'150};
  /// A load that has not shown by then is planned again.
  std::chrono::milliseconds load_timeout{6'000};
  /// Gateways need so long to hear that an engine is held.
  std::chrono::milliseconds hold_propagation{80};
  /// Requests that cannot be resumed elsewhere get so long to end.
  std::chrono::milliseconds max_drain{1'500};
  /// The same when all engines are busy: an engine that is emptied serves
  /// nobody, and in so long it reads what one to two long prompts take.
  std::chrono::milliseconds min_drain{300};
  /// Runs may end under an order only if that should take no longer, and only
  /// while there is time for the worst. It blocks the engine meanwhile:
  /// overloaded ones took 4.0 to 4.8 s, half of it for the last few runs.
  std::chrono::milliseconds max_expected_finish{1'000};
  std::chrono::milliseconds max_finish{5'000};
  /// The last order is given so long before older weights are at their limit.
  std::chrono::milliseconds deadline_margin{1'000};
  /// Engines are held at most so long at once, in case this gateway ends.
  std::chrono::milliseconds hold_duration{4'000};
  /// An engine that is there answers within this; others give up their turn.
  std::chrono::milliseconds prompt_status{100};
  /// One that gave no report is left alone for so long.
  std::chrono::milliseconds unresponsive_backoff{1'000};
  /// After a start the bound of weights that were named at an unknown time is
  /// left aside for so long, in which other gateways tell the time.
  std::chrono::milliseconds assumed_age_grace{1'000};
};

}  // namespace ridgehold
