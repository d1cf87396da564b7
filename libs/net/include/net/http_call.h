// One call with a whole answer over a pool's connections.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <string>

#include "net/beast.h"
#include "net/connection_pool.h"

namespace ridgehold {

/// A whole answer, or why there is none.
struct CallOutcome {
  ExchangeFault fault = ExchangeFault::kNone;
  ResponseMessage answer;
};

/// Asked just before a call is sent, since connecting takes time.
using MaySend = std::function<bool()>;

/// Sends `request` once to `address` and reads the whole answer within `limit`.
/// Nothing is sent, and kNotSent returned, when `may_send` says no.
net::awaitable<CallOutcome> Call(ConnectionPool& pool, std::string address, RequestMessage request,
                                 std::chrono::milliseconds limit, MaySend may_send = {});

}  // namespace ridgehold
