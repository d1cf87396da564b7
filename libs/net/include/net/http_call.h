// A single HTTP request-response exchange over a pooled connection.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <string>

#include "net/beast.h"
#include "net/connection_pool.h"

namespace ridgehold {

/// A complete response, or the reason why there is none.
struct CallResult {
  ExchangeFault fault = ExchangeFault::kNone;
  ResponseMessage response;
};

/// Checked right before a request is sent: it may have become invalid while connecting.
using MaySend = std::function<bool()>;

/// Sends `request` to `address` once, without retries, and reads the complete response.
/// `timeout` covers connecting, sending and reading. If `may_send` returns false, sends nothing
/// and returns kNotSent.
net::awaitable<CallResult> Call(ConnectionPool& pool, std::string address, RequestMessage request,
                                std::chrono::milliseconds timeout, MaySend may_send = {});

}  // namespace ridgehold
