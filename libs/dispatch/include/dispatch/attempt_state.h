// What is known of one attempt to have a backend server run a request.

#pragma once

#include <cstdint>

#include "base/result_code.h"
#include "http/call.h"

namespace ridgehold {

/// Moves forward only. `not run` can be said only of kNotSent and kRefused.
class AttemptState {
 public:
  enum class Phase : std::uint8_t {
    kNotSent,       ///< no byte can have reached the backend server
    kPossiblySent,  ///< it may have the request, and may be running it
    kRefused,       ///< it said itself that it did not run the request
    kAcknowledged,  ///< it has begun to answer
    kAnswered,      ///< its whole answer is here
  };

  Phase phase() const { return phase_; }

  /// The request was handed to the transport.
  void Start() { Advance(Phase::kPossiblySent); }

  /// The backend server's status and headers came; `refused` when it says
  /// explicitly that it did not run the request.
  void TakeHead(bool refused) { Advance(refused ? Phase::kRefused : Phase::kAcknowledged); }

  /// The transfer ended. Only the transport's own proof that no connection
  /// was made leads back to kNotSent, and only before anything was received.
  void TakeEnd(TransferOutcome outcome) {
    if (outcome == TransferOutcome::kNotSent && phase_ == Phase::kPossiblySent) {
      phase_ = Phase::kNotSent;
    }
    if (outcome == TransferOutcome::kComplete && phase_ == Phase::kAcknowledged) {
      phase_ = Phase::kAnswered;
    }
  }

  /// Whether the backend server executed the request.
  Execution execution() const {
    switch (phase_) {
      case Phase::kNotSent:
      case Phase::kRefused:
        return Execution::kNotRun;
      case Phase::kAnswered:
        return Execution::kRan;
      case Phase::kPossiblySent:
      case Phase::kAcknowledged:
        break;
    }
    return Execution::kUnknown;
  }

  /// Whether the request may be sent once more.
  bool MayRepeat(bool repeatable) const { return execution() == Execution::kNotRun || repeatable; }

 private:
  void Advance(Phase phase) {
    if (phase > phase_) phase_ = phase;
  }

  Phase phase_ = Phase::kNotSent;
};

}  // namespace ridgehold
