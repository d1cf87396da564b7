// A connection that was accepted on one of the instance's own ports.

#pragma once

#include <optional>

#include "base/ids.h"
#include "net/beast.h"

namespace ridgehold {

/// Owned by the coroutine that serves it. Not thread-safe.
class PortSession {
 public:
  PortSession(tcp::socket socket, TimePoint now) : socket_(std::move(socket)), waiting_(now) {}

  tcp::socket& socket() { return socket_; }
  bool open() const { return socket_.is_open(); }

  /// Marks that the session waits for a request of its client.
  void AwaitClient(TimePoint now) {
    waiting_ = now;
    sends_ = false;
  }
  /// Marks that the session waits for its client to read a response.
  void AwaitDelivery(TimePoint now) {
    waiting_ = now;
    sends_ = true;
  }
  /// Marks that a response is being made.
  void BeginResponse() { waiting_.reset(); }
  /// Since when the session has waited for its client; nullopt while a response is being made.
  const std::optional<TimePoint>& waiting_since() const { return waiting_; }

  /// Whether bytes of an awaited request have arrived and have not been read. Those that a client
  /// sends while it leaves a response unread don't count: it could hold its connection for ever.
  bool HasUnreadRequest() const {
    ErrorCode ignored;
    return !sends_ && socket_.available(ignored) > 0;
  }

  /// Cancels what the session waits for.
  void Close() {
    ErrorCode ignored;
    socket_.close(ignored);
  }

 private:
  tcp::socket socket_;
  std::optional<TimePoint> waiting_;
  bool sends_ = false;  ///< a response
};

}  // namespace ridgehold
