// The write on a connection whose input is read at the same time.

#pragma once

#include "net/beast.h"
#include "net/timer.h"
#include "net/update_signal.h"

namespace ridgehold {

/// Tells the end of a connection's input from a reset. The kernel reports the error of a reset
/// once. A pending write takes it, and the reads after it see the end of the connection, as if the
/// peer had closed it in order. Runs on one executor.
class WriteState {
 public:
  explicit WriteState(net::any_io_executor executor) : ended_(std::move(executor)) {}

  void Begin();
  void End(const ErrorCode& error);

  bool pending() const { return pending_; }
  bool failed() const { return static_cast<bool>(error_); }

  /// After a read of `socket` has seen the end: whether the peer has ended its sending side before
  /// anything else ended the connection. Waits for a write that is about to fail, at most until
  /// `limit`. The caller keeps this object and `socket` alive.
  net::awaitable<bool> InputEndedInOrder(tcp::socket& socket, TimePoint limit);

 private:
  bool pending_ = false;
  ErrorCode error_;  ///< of the last write
  UpdateSignal ended_;
};

}  // namespace ridgehold
