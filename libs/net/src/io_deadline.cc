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
  timer_.expires_at(deadline);
  // The callback is kept in the handlers alone: a member would be a cycle of ownership.
  timer_.async_wait(
      [this, generation, on_expired = std::move(on_expired)](const ErrorCode& error) mutable {
        if (error || generation != generation_) return;
        Yield(generation, {Clock::now()}, std::move(on_expired));
      });
}

void IoDeadline::Disarm() {
  ++generation_;
  timer_.cancel();
}

void IoDeadline::Yield(std::uint64_t generation, Extension extension, Callback on_expired) {
  extension.quiet_turns = HasEvent() ? 0 : extension.quiet_turns + 1;
  if (IsOver(extension)) return Expire(generation, std::move(on_expired));
  ++extension.turns;
  net::post(socket_.get_executor(),
            [this, generation, extension, on_expired = std::move(on_expired)]() mutable {
              if (generation == generation_) Yield(generation, extension, std::move(on_expired));
            });
}

bool IoDeadline::IsOver(const Extension& extension) {
  const bool quiet = extension.quiet_turns > kQuietTurns;
  const bool too_long = extension.turns >= kMaxTurns || Clock::now() - extension.since >= kMaxDelay;
  return quiet || (too_long && extension.turns > kQuietTurns);
}

void IoDeadline::Expire(std::uint64_t generation, Callback on_expired) {
  expired_ = true;
  on_expired();
  if (generation != generation_) return;
  timer_.expires_after(kRepeatInterval);
  timer_.async_wait(
      [this, generation, on_expired = std::move(on_expired)](const ErrorCode& error) mutable {
        if (!error && generation == generation_) Expire(generation, std::move(on_expired));
      });
}

bool IoDeadline::HasEvent() const {
  const short event = event_ == Event::kReadable ? POLLIN : POLLOUT;
  pollfd poll_request{socket_.native_handle(), event, 0};
  return ::poll(&poll_request, 1, 0) > 0;
}

}  // namespace ridgehold
