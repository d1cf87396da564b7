#include "listener/accept_backoff.h"

#include <algorithm>
#include <utility>

namespace ridgehold {

AcceptBackoff::Decision AcceptBackoff::OnFailure(Fault fault, TimePoint now) {
  Decision decision;
  if (fault == Fault::kShortage) {
    decision.pause = pause_;
    pause_ = std::min(pause_ * 2, kMaxPause);
  }
  ++unlogged_;
  if (now >= log_again_at_) {
    log_again_at_ = now + kLogInterval;
    decision.failures_to_log = std::exchange(unlogged_, 0);
  }
  return decision;
}

}  // namespace ridgehold
