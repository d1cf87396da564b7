// One gateway's share of the retries that all gateways together may send to a service.

#pragma once

#include <algorithm>
#include <cstdint>
#include <map>

#include "base/ids.h"

namespace ridgehold {

/// The bound on retries: in any window at most `ratio` x requests + `slack`,
/// over all gateways.
struct RetryBound {
  double ratio = 0.1;
  double slack = 5;
};

/// A token bucket a service. It holds at most this gateway's share of the
/// slack and earns by requests, so that in any window it lets out at most its
/// share of the slack plus `ratio` times its own requests. Not thread-safe.
class RetryAllowance {
 public:
  /// Part of the bound that is used; the rest covers gateways that are not known.
  static constexpr double kUsedPart = 0.8;

  explicit RetryAllowance(RetryBound bound) : bound_(bound) {}

  /// `gateways` share the slack from now on.
  void SetGateways(std::uint32_t gateways) { gateways_ = std::max(gateways, 1U); }

  /// A request for `service` came in.
  void Earn(const ServiceId& service) {
    double& saved = SavedOf(service);
    saved = std::min(saved + bound_.ratio * kUsedPart, Capacity());
  }

  /// Returns whether one more arrival beyond a request's first is allowed, and
  /// counts it.
  bool Spend(const ServiceId& service) {
    double& saved = SavedOf(service);
    saved = std::min(saved, Capacity());
    if (saved < 1) return false;
    saved -= 1;
    return true;
  }

 private:
  double Capacity() const { return std::max(1.0, bound_.slack * kUsedPart / gateways_); }
  double& SavedOf(const ServiceId& service) {
    return saved_.try_emplace(service, Capacity()).first->second;
  }

  RetryBound bound_;
  std::uint32_t gateways_ = 1;
  std::map<ServiceId, double> saved_;
};

}  // namespace ridgehold
