// Attempts queued at engines, cancelled when their weights become too old.

#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

#include "base/ids.h"
#include "gateway/cancellable_attempts.h"
#include "gateway/weights_history.h"
#include "net/beast.h"
#include "net/timer.h"

namespace ridgehold {

/// Weights that an attempt was sent for.
struct RequiredWeights {
  ModelId model;
  WeightsNumber weights;
};

/// The limit on outdated weights applies when an engine starts a request. A request may be queued
/// at the engine for some time after it was sent, and newer weights may be announced meanwhile;
/// each attempt is therefore watched until its first event. Runs on one executor; must outlive its
/// tickets.
class QueuedAttempts {
 public:
  using Attempts = CancellableAttempts<RequiredWeights>;
  using Ticket = Attempts::Ticket;

  /// `limit` is how long after the announcement of newer weights a request may still start on the
  /// old ones.
  QueuedAttempts(net::any_io_executor executor, const WeightsHistory& named,
                 std::chrono::milliseconds limit)
      : named_(named), limit_(limit), timer_(executor) {}

  /// Watches an attempt queued at an engine with these weights while `ticket`, which is set here,
  /// lives.
  void Add(std::optional<Ticket>& ticket, const RequiredWeights& required,
           Attempts::CancelCallback cancel);

  /// Cancels attempts past their deadline. Call after weights were announced or the time of an
  /// announcement was corrected.
  void CancelExpired();

  void SetLimit(std::chrono::milliseconds limit);

  std::size_t size() const { return attempts_.size(); }

 private:
  /// Deadline for the attempt to start; empty while its weights are the newest.
  std::optional<TimePoint> DeadlineOf(const RequiredWeights& required) const;
  /// Arms the timer unless it expires earlier already.
  void ArmFor(TimePoint deadline);

  const WeightsHistory& named_;
  std::chrono::milliseconds limit_;
  Timer timer_;
  std::optional<TimePoint> armed_for_;
  Attempts attempts_;
};

}  // namespace ridgehold
