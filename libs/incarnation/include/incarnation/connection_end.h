// How a connection to a server ended.

#pragma once

#include <chrono>
#include <optional>

#include "base/ids.h"

namespace ridgehold {

/// The end of a connection by the server, which had not announced it. One that was idle was closed
/// and not reset.
struct ConnectionEnd {
  TimePoint opened{};
  TimePoint alive_at{};        ///< when the server last showed life on it
  bool amid_exchange = false;  ///< before the response to a request was complete
  Duration idle{0};            ///< how long the connection had been idle, otherwise
  std::optional<std::chrono::seconds> idle_timeout;  ///< as stated by the server
  bool others_open = false;  ///< another connection to the server is still open
};

}  // namespace ridgehold
