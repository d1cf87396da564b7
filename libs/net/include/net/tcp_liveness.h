// Socket options that decide when a silent peer is given up.

#pragma once

#include <chrono>
#include <optional>

#include "net/beast.h"

namespace ridgehold {

/// On Linux, a user timeout also decides when keep-alive probes give up, whatever their number.
struct TcpLiveness {
  /// Unacknowledged bytes or keep-alive probes for this long end the connection
  /// (TCP_USER_TIMEOUT).
  std::chrono::milliseconds user_timeout{2'500};
  /// Idle time before the first keep-alive probe, and interval between probes; empty: none.
  std::optional<std::chrono::seconds> keep_alive;
};

/// Sets the options, and TCP_NODELAY.
void Apply(const TcpLiveness& liveness, tcp::socket& socket);

}  // namespace ridgehold
