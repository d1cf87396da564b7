// Requests that engines have not begun yet, withdrawn when their weights get too old.

#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

#include "base/ids.h"
#include "gateway/weights_history.h"
#include "gateway/withdrawable_attempts.h"
#include "net/beast.h"
#include "net/timer.h"

namespace ridgehold {

/// What an attempt needs to begin in time.
struct WeightsAsked {
  ModelId model;
  WeightsNumber weights;
};

/// The bound on older weights is about when an engine begins a request. A
/// queue may lie between sending and that, and newer weights may be named
/// meanwhile; so what waits is watched until its first event. Runs on one
/// executor; outlives its tickets.
class WaitingAttempts {
 public:
  using Attempts = WithdrawableAttempts<WeightsAsked>;
  using Ticket = Attempts::Ticket;

  /// `limit` is how long a request may begin on weights after newer were named.
  WaitingAttempts(net::any_io_executor executor, const WeightsHistory& named,
                  std::chrono::milliseconds limit)
      : named_(named), limit_(limit), timer_(executor) {}

  /// An attempt waits at an engine with these weights. `ticket` is filled.
  void Add(std::optional<Ticket>& ticket, const WeightsAsked& asked, Attempts::Withdraw withdraw);

  /// Weights were named, or the moment of a naming is known better.
  void Review();

  void SetLimit(std::chrono::milliseconds limit);

  std::size_t size() const { return attempts_.size(); }

 private:
  /// When the attempt must have begun; nothing while its weights are the newest.
  std::optional<TimePoint> BoundOf(const WeightsAsked& asked) const;
  /// Unless a review is due before.
  void ArmFor(TimePoint bound);

  const WeightsHistory& named_;
  std::chrono::milliseconds limit_;
  Timer timer_;
  std::optional<TimePoint> armed_for_;
  Attempts attempts_;
};

}  // namespace ridgehold
