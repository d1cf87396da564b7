// A single HTTP request-response exchange over a pooled connection.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstddef>
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

struct CallLimits {
  std::chrono::milliseconds timeout;  ///< for connecting, sending and reading
  /// Of the response's body; a larger one is kBroken.
  std::size_t max_response_bytes = std::size_t{1} << 20;
};

/// Sends `request` to `address` once, without retries, and reads the complete response. If
/// `may_send` returns false, sends nothing and returns kNotSent.
net::awaitable<CallResult> Call(ConnectionPool& pool, std::string address, RequestMessage request,
                                CallLimits limits, MaySend may_send = {});

}  // namespace ridgehold
