// Whether the end of a connection shows that the server's process has ended.

#pragma once

#include <chrono>
#include <optional>

#include "base/ids.h"

namespace ridgehold {

/// How the server's side of a connection ended, without having announced it.
struct ConnectionEnd {
  bool amid_exchange = false;  ///< before the response to a request was complete
  Duration idle{0};            ///< how long the connection had been idle, otherwise
  std::optional<std::chrono::seconds> idle_timeout;  ///< as stated by the server
  bool others_open = false;  ///< another connection to the server is still open
};

/// The connections of a process end together. A server also closes connections that have been idle
/// for long, which shows nothing.
bool ShowsProcessEnd(const ConnectionEnd& end);

}  // namespace ridgehold
