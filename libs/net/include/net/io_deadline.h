// A time limit for operations on a socket.

#pragma once

#include <chrono>
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

  /// A peer that sends without end cannot put the limit off by more turns of the event loop, nor
  /// for longer. In a busy loop a turn takes as long as all queued handlers.
  static constexpr int kMaxTurns = 64;
  static constexpr std::chrono::milliseconds kMaxDelay{50};
  /// Turns after the last event, for a handler that is already queued.
  static constexpr int kQuietTurns = 2;

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

  /// How far the operation has been let go on after its limit.
  struct Extension {
    TimePoint since;
    int turns = 0;
    int quiet_turns = 0;
  };

  void Yield(std::uint64_t generation, Extension extension, Callback on_expired);
  static bool IsOver(const Extension& extension);
  void Expire(std::uint64_t generation, Callback on_expired);
  bool HasEvent() const;

  tcp::socket& socket_;
  Timer timer_;
  Event event_ = Event::kReadable;
  std::uint64_t generation_ = 0;
  bool expired_ = false;
};

}  // namespace ridgehold
