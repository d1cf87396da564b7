// One call with a whole answer over a pool's connections.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <string>

#include "net/beast.h"
#include "net/connection_pool.h"

namespace ridgehold {

/// A whole answer, or why there is none.
struct CallOutcome {
  ExchangeFault fault = ExchangeFault::kNone;
  ResponseMessage answer;
};

/// Sends `request` once to `address` and reads the whole answer within `limit`.
net::awaitable<CallOutcome> Call(ConnectionPool& pool, std::string address, RequestMessage request,
                                 std::chrono::milliseconds limit);

}  // namespace ridgehold
