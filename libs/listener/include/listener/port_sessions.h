// The connections of one of the instance's own ports, with limits.

#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "base/ids.h"
#include "listener/port_session.h"
#include "net/beast.h"

namespace ridgehold {

/// Limits of a port.
struct PortLimits {
  std::size_t max_connections = 64;
  /// How long a client may take to send its next request or to read a response. Longer than other
  /// instances keep a connection for reuse, see ConnectionPool::Options::max_keep_alive.
  std::chrono::milliseconds client_timeout{30'000};
};

/// Neither idle connections nor slow clients can use up the port: at its limit, a new connection
/// replaces the one that has waited longest for its client. A session that waits for a
/// request, bytes of which have arrived and have not been read yet, is not closed. Not thread-safe.
class PortSessions {
 public:
  explicit PortSessions(PortLimits limits) : limits_(limits) {}

  /// Returns the session of a new connection. Returns null if the limit is reached and none of the
  /// others waits for its client.
  std::shared_ptr<PortSession> Add(tcp::socket socket, TimePoint now);

  /// Closes sessions whose client has exceeded its time.
  void CloseExpired(TimePoint now);

  std::size_t open_sessions();
  /// Number of sessions closed so far to make room for new ones.
  std::uint64_t replaced() const { return replaced_; }

 private:
  void RemoveClosed();
  bool CloseLongestWaiting();

  PortLimits limits_;
  std::vector<std::weak_ptr<PortSession>> sessions_;
  std::uint64_t replaced_ = 0;
};

}  // namespace ridgehold
