// Limit on the retries of a service.

#pragma once

#include <chrono>

namespace ridgehold {

/// Limit on retries of all gateways together: at most `ratio` * requests + `slack` in any window.
struct RetryBudgetLimits {
  double ratio = 0.1;
  double slack = 5;
  std::chrono::milliseconds window{10'000};
};

}  // namespace ridgehold
