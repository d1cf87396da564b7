#include "net/io_deadline.h"

#include <poll.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

namespace ridgehold {
namespace {

constexpr std::chrono::milliseconds kRepeatInterval{10};

}  // namespace

void IoDeadline::Arm(TimePoint deadline, Event event, std::function<void()> on_expired) {
  const std::uint64_t generation = ++generation_;
  event_ = event;
  expired_ = false;
  on_expired_ = std::move(on_expired);
  timer_.expires_at(deadline);
  // The callback keeps the owner alive, and with it this object.
  timer_.async_wait([this, generation, owner = on_expired_](const ErrorCode& error) {
    if (!error && generation == generation_) Yield(generation, 0, 0);
  });
}

void IoDeadline::Disarm() {
  ++generation_;
  on_expired_ = nullptr;
  timer_.cancel();
}

void IoDeadline::Yield(std::uint64_t generation, int turns, int quiet_turns) {
  quiet_turns = HasEvent() ? 0 : quiet_turns + 1;
  if (turns >= kMaxTurns || quiet_turns > kQuietTurns) return Expire(generation);
  net::post(socket_.get_executor(), [this, generation, turns, quiet_turns, owner = on_expired_] {
    if (generation == generation_) Yield(generation, turns + 1, quiet_turns);
  });
}

void IoDeadline::Expire(std::uint64_t generation) {
  expired_ = true;
  const auto on_expired = on_expired_;
  on_expired();
  if (generation != generation_) return;
  timer_.expires_after(kRepeatInterval);
  timer_.async_wait([this, generation, on_expired](const ErrorCode& error) {
    if (!error && generation == generation_) Expire(generation);
  });
}

bool IoDeadline::HasEvent() const {
  const short event = event_ == Event::kReadable ? POLLIN : POLLOUT;
  pollfd poll_request{socket_.native_handle(), event, 0};
  return ::poll(&poll_request, 1, 0) > 0;
}

}  // namespace ridgehold
