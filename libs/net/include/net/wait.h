// Timer waits for coroutines.

#pragma once

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/ids.h"
#include "net/beast.h"
#include "net/timer.h"

namespace ridgehold {

/// Waits until `moment`, or until the timer is cancelled or its expiry is changed.
inline net::awaitable<void> WaitUntil(Timer& timer, TimePoint moment) {
  ErrorCode ignored;
  timer.expires_at(moment);
  co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

/// Waits for `time`, or until the timer is cancelled or its expiry is changed.
inline net::awaitable<void> WaitFor(Timer& timer, Duration time) {
  co_await WaitUntil(timer, Clock::now() + time);
}

/// Lets handlers run whose events have arrived: an event loop that was held up finds them and the
/// end of a wait due together. Takes two turns of the loop.
inline net::awaitable<void> HandleArrivals(net::any_io_executor executor) {
  constexpr int kTurns = 2;
  for (int i = 0; i < kTurns; ++i) co_await net::post(executor, net::use_awaitable);
}

}  // namespace ridgehold
