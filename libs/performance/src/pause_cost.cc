#include "performance/pause_cost.h"

#include <algorithm>

namespace ridgehold {

double PauseCost::Of(double slowness, double queue_ms) const {
  if (objective_ms <= 0) return 0;
  const double expected = average_pause_ms * slowness + queue_ms;
  return std::clamp(expected - objective_ms / 2, 0.0, max_cost_ms);
}

}  // namespace ridgehold
