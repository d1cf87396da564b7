// Waits within coroutines.

#pragma once

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "net/beast.h"

namespace ridgehold::soak {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

inline net::awaitable<void> Sleep(std::chrono::milliseconds time) {
  net::steady_timer timer(co_await net::this_coro::executor, time);
  ErrorCode ignored;
  co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

}  // namespace ridgehold::soak
