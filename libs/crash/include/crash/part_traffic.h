// How often each prompt part is sent, and with what result, as one gateway observes it.

#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "crash/request_features.h"

namespace ridgehold {

/// Estimates, from recent requests, how likely it is that a prompt part is present by coincidence
/// when a backend server crashes. Not thread-safe; the caller supplies the time.
class PartTraffic {
 public:
  static constexpr std::chrono::seconds kWindow{60};
  /// Maximum number of remembered attempts and survivals each; the oldest are evicted.
  static constexpr std::size_t kMaxSamples = 2'048;

  /// Records that an attempt waited so long until its answer began or it ended. `share` is the part
  /// of all gateways' requests per backend server that this gateway sends: gateways / servers.
  void RecordWait(std::span<const PartFeature> parts, Duration wait, double share, TimePoint now);

  /// Records that a backend server began to answer at `begun` and lived on.
  void RecordSurvival(std::span<const PartFeature> parts, TimePoint begun, TimePoint now);

  /// The probability that a backend server that crashes by itself has an attempt with the part
  /// whose answer has not begun; above 0, at most 1. `suspects` is the number of such attempts,
  /// with any parts, per crash: where requests crowd onto the servers that are left, all parts are
  /// present more often.
  double PresenceOf(RequestFingerprint part, double suspects, TimePoint now) const;

  /// Attempts with the part for each attempt without it.
  double OddsOf(RequestFingerprint part) const;

  /// The latest time at which an answer to a request with the part began that was survived;
  /// nothing if there was none recently.
  std::optional<TimePoint> LastSurvival(RequestFingerprint part) const;

  /// Number of answers that began after `since` and were survived.
  std::size_t SurvivalsSince(TimePoint since) const;

 private:
  struct Attempt {
    TimePoint at{};
    Duration scaled_wait{0};
    std::vector<RequestFingerprint> parts;
  };
  struct Survival {
    TimePoint begun{};
    TimePoint at{};
    std::vector<RequestFingerprint> parts;
  };
  struct PartCount {
    std::size_t attempts = 0;
    std::size_t survivals = 0;
    Duration scaled_wait{0};
    TimePoint last_survival{};
  };

  void Expire(TimePoint now);
  void DropOldestAttempt();
  void DropOldestSurvival();
  void EraseIfUnused(RequestFingerprint part);

  std::deque<Attempt> attempts_;
  Duration total_wait_{0};  ///< of these, scaled
  std::deque<Survival> survivals_;
  std::unordered_map<RequestFingerprint, PartCount> counts_;
  std::optional<TimePoint> started_at_;
};

}  // namespace ridgehold
