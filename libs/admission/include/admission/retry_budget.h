// A budget that keeps retries a small part of all requests.

#pragma once

#include <algorithm>
#include <cstdint>

namespace ridgehold {

/// Each request earns a fraction of a retry; a retry spends a whole one. So in
/// any run of N requests there are at most N * percent / 100 + kBurst retries,
/// however many backend servers fail. Not thread-safe.
class RetryBudget {
 public:
  /// Retries that may come at once after a quiet time.
  static constexpr double kBurst = 5;

  explicit RetryBudget(std::uint32_t percent) : earned_per_request_(percent / 100.0) {}

  /// A request came in.
  void Earn() { saved_ = std::min(saved_ + earned_per_request_, kBurst); }

  /// Returns whether a retry may be made, and spends it.
  bool Spend() {
    if (saved_ < 1) return false;
    saved_ -= 1;
    return true;
  }

 private:
  double earned_per_request_;
  double saved_ = kBurst;
};

}  // namespace ridgehold
