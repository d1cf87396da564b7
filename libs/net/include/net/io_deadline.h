// A time limit for operations on a socket.

#pragma once

#include <cstdint>
#include <functional>

#include "base/ids.h"
#include "net/beast.h"
#include "net/timer.h"

namespace ridgehold {

/// Ends an operation on a socket when its time is up. An event loop that was held up finds the
/// limit and what has arrived meanwhile due together: the operation then goes on with what has
/// arrived, and ends only if it is still pending when nothing is left to read. Not thread-safe; all
/// calls must come from the socket's executor.
class IoDeadline {
 public:
  /// Which event of the socket the operation waits for.
  enum class Event : std::uint8_t { kReadable, kWritable };

  /// A peer that sends without end cannot put the limit off by more turns of the event loop.
  static constexpr int kMaxTurns = 64;
  /// Turns after the last event, for handlers of a composed operation that are already queued.
  static constexpr int kQuietTurns = 8;

  explicit IoDeadline(tcp::socket& socket) : socket_(socket), timer_(socket.get_executor()) {}

  /// Calls `on_expired`, which ends the operation, once `deadline` has passed, and again until
  /// Disarm() or Arm(): a composed operation misses a cancellation that comes between two of its
  /// steps. `on_expired` has to share the ownership of the socket and of this object.
  void Arm(TimePoint deadline, Event event, std::function<void()> on_expired);

  /// Call when the operation has ended. Afterwards expired() tells whether the limit ended it.
  void Disarm();

  /// Whether the limit that was armed last has passed with the operation pending.
  bool expired() const { return expired_; }

 private:
  using Callback = std::function<void()>;

  void Yield(std::uint64_t generation, int turns, int quiet_turns, Callback on_expired);
  void Expire(std::uint64_t generation, Callback on_expired);
  bool HasEvent() const;

  tcp::socket& socket_;
  Timer timer_;
  Event event_ = Event::kReadable;
  std::uint64_t generation_ = 0;
  bool expired_ = false;
};

}  // namespace ridgehold
