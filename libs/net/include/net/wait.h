// Waiting in a coroutine.

#pragma once

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/ids.h"
#include "net/beast.h"
#include "net/timer.h"

namespace ridgehold {

/// Waits until `moment`, or until the timer is cancelled or set anew.
inline net::awaitable<void> WaitUntil(Timer& timer, TimePoint moment) {
  ErrorCode ignored;
  timer.expires_at(moment);
  co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

/// The same for a span.
inline net::awaitable<void> WaitFor(Timer& timer, Duration time) {
  co_await WaitUntil(timer, Clock::now() + time);
}

}  // namespace ridgehold
