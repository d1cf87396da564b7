// The order in which gateways send to a backend server again after a common pause.

#pragma once

#include <chrono>
#include <cstdint>

#include "base/ids.h"

namespace ridgehold {

/// Returns how long a gateway still waits after the pause. Each gateway counts the whole room of
/// the server as its own until it hears of the others' requests, so at most a few of them may send
/// at the same moment. The order differs between servers. `gateway` identifies the gateway, one of
/// `gateways`. The result is less than half of `pause`.
Duration TurnAfterPause(std::uint64_t gateway, BackendHash backend, std::uint32_t gateways,
                        std::chrono::milliseconds pause);

}  // namespace ridgehold
