// The cost of placing a stream where its events are expected to pause.

#pragma once

namespace ridgehold {

/// For streams beside prompts on uneven engines, where one stream in five was late because of a
/// pause. The expected pause is that of the service's streams at an engine of this speed, plus the
/// prefill that is queued there.
struct PauseCost {
  double average_pause_ms = 0;  ///< of the service's interactive streams; 0: not known
  double objective_ms = 0;      ///< of the request; 0: pauses cost nothing
  double max_cost_ms = 0;

  /// The amount by which the expected pause exceeds half of the objective; pauses vary, and twice
  /// the average is a common one. `queue_ms` is the queued prefill at this engine.
  double Of(double slowness, double queue_ms) const;
};

}  // namespace ridgehold
