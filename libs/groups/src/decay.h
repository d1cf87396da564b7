// Exponential decay.

#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

#include "base/ids.h"

namespace ridgehold {

/// The weight that a value keeps between two times; 1 if `to` is not later.
inline double DecayFactor(TimePoint from, TimePoint to, std::chrono::duration<double> half_life) {
  const std::chrono::duration<double> elapsed = to - from;
  return std::exp2(-std::max(elapsed.count(), 0.0) / half_life.count());
}

}  // namespace ridgehold
