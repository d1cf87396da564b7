#include "net/http_call.h"

namespace ridgehold {

net::awaitable<CallResult> Call(ConnectionPool& pool, std::string address, RequestMessage request,
                                CallLimits limits, MaySend may_send) {
  const TimePoint deadline = Clock::now() + limits.timeout;
  Checkout checkout = co_await pool.Acquire(address, deadline);
  CallResult outcome;
  outcome.fault = checkout.fault;
  if (outcome.fault != ExchangeFault::kNone) co_return outcome;
  auto connection = std::move(checkout.connection);
  if (may_send && !may_send()) {
    pool.Release(address, std::move(connection));
    outcome.fault = ExchangeFault::kNotSent;
    co_return outcome;
  }
  // A conditional request must not be delivered by the kernel after this process has ended.
  if (may_send) connection->ResetOnClose(true);
  connection->StartRequest(request);
  outcome.fault = co_await connection->ReadHead(deadline);
  if (outcome.fault != ExchangeFault::kNone) {
    connection->Close();
    co_return outcome;
  }
  outcome.response.base() = connection->head();
  const auto may_hold = [&](std::size_t bytes) { return bytes <= limits.max_response_bytes; };
  outcome.fault = co_await connection->ReadWholeBody(outcome.response.body(), may_hold, deadline);
  if (outcome.fault != ExchangeFault::kNone) {
    // It would stay open until the deadline.
    connection->Close();
    co_return outcome;
  }
  if (may_send) connection->ResetOnClose(false);
  pool.Release(address, std::move(connection));
  co_return outcome;
}

}  // namespace ridgehold
