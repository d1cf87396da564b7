// Attempts without a response, cancelled when their backend server becomes unreachable.

#pragma once

#include "base/ids.h"
#include "gateway/cancellable_attempts.h"

namespace ridgehold {

/// Requests at an unresponsive backend server that may be executed again are retried elsewhere as
/// soon as a probe fails, after about 0.9 s, instead of after their response time-out of several
/// objectives.
class UnansweredAttempts : public CancellableAttempts<BackendId> {
 public:
  void CancelAt(const BackendId& backend) {
    CancelIf([&](const BackendId& at) { return at == backend; });
  }
};

}  // namespace ridgehold
