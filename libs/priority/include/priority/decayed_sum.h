// A sum whose addends lose half of their weight in each half-life.

#pragma once

#include <chrono>
#include <cmath>

#include "base/ids.h"

namespace ridgehold {

/// Not thread-safe; the caller passes in the time, which must not decrease.
class DecayedSum {
 public:
  explicit DecayedSum(Duration half_life) : half_life_(half_life) {}

  void Add(double amount, TimePoint now) {
    sum_ = At(now) + amount;
    updated_at_ = now;
  }

  double At(TimePoint now) const {
    const std::chrono::duration<double> age = now - updated_at_;
    return sum_ == 0 ? 0 : sum_ * std::exp2(-(age / half_life_));
  }

  TimePoint updated_at() const { return updated_at_; }

 private:
  std::chrono::duration<double> half_life_;
  double sum_ = 0;
  TimePoint updated_at_{};
};

}  // namespace ridgehold
