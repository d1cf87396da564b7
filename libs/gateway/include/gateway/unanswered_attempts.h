// Attempts that have no answer yet, withdrawn when their backend server is out of reach.

#pragma once

#include "base/ids.h"
#include "gateway/withdrawable_attempts.h"

namespace ridgehold {

/// A backend server that falls silent keeps what was sent there. Those requests that may
/// run again go elsewhere as soon as a probe does not reach it, after some 0.9 s, and not
/// when their patience of several objectives is over.
class UnansweredAttempts : public WithdrawableAttempts<BackendId> {
 public:
  void WithdrawFrom(const BackendId& backend) {
    WithdrawIf([&](const BackendId& at) { return at == backend; });
  }
};

}  // namespace ridgehold
