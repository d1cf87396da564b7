// Adapts the time limit of large reads to a congested link.

#pragma once

#include <algorithm>

#include "control/state_store.h"

namespace ridgehold {

/// Readers that share a congested link and give up at the same moment never get an answer, and fill
/// the link with what nobody waits for. Until a read has succeeded, the time limit is the longest
/// one: the instances of a fleet may have started together. Later, each answer that does not arrive
/// doubles the time limit of the next one. Not thread-safe.
class CallPatience {
 public:
  /// For ListOptions.
  int timeout_factor() const { return timeout_factor_; }

  /// Records that a read failed; only a missing answer matters.
  void RecordFailure(StoreError error) {
    if (error == StoreError::kNoAnswer) timeout_factor_ = std::min(timeout_factor_ * 2, kMaxFactor);
  }
  void RecordSuccess() { timeout_factor_ = 1; }

 private:
  // With the time limit of 1 s, a first page for each of 2,000 instances passes a link of 1 Gbit/s.
  static constexpr int kMaxFactor = 4;

  int timeout_factor_ = kMaxFactor;
};

}  // namespace ridgehold
