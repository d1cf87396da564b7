#include "net/write_state.h"

#include <poll.h>

namespace ridgehold {
namespace {

/// Whether neither side can send any more. A peer that has only ended its own side, with a write
/// to it pending, does not count.
bool EndedBothWays(tcp::socket& socket) {
  if (!socket.is_open()) return true;
  pollfd poll_request{socket.native_handle(), 0, 0};
  return ::poll(&poll_request, 1, 0) > 0 && (poll_request.revents & (POLLHUP | POLLERR)) != 0;
}

}  // namespace

void WriteState::Begin() {
  pending_ = true;
  error_ = {};
}

void WriteState::End(const ErrorCode& error) {
  pending_ = false;
  error_ = error;
  ended_.Notify();
}

net::awaitable<bool> WriteState::InputEndedInOrder(tcp::socket& socket, TimePoint limit) {
  while (pending_ && EndedBothWays(socket)) {
    if (Clock::now() >= limit) co_return false;
    co_await ended_.WaitUntil(limit);
  }
  // After a peer has ended its side, a reset fails the write with EPIPE, and otherwise with
  // ECONNRESET.
  co_return !error_ || error_ == net::error::broken_pipe;
}

}  // namespace ridgehold
