#include "net/http_call.h"

namespace ridgehold {
namespace {

// Far above the size of any response of the store or of the control API.
constexpr std::size_t kMaxResponseBytes = std::size_t{16} << 20;

}  // namespace

net::awaitable<CallResult> Call(ConnectionPool& pool, std::string address, RequestMessage request,
                                std::chrono::milliseconds timeout, MaySend may_send) {
  const TimePoint deadline = Clock::now() + timeout;
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
  if (outcome.fault != ExchangeFault::kNone) co_return outcome;
  outcome.response.base() = connection->head();
  const auto may_hold = [](std::size_t bytes) { return bytes <= kMaxResponseBytes; };
  outcome.fault = co_await connection->ReadWholeBody(outcome.response.body(), may_hold, deadline);
  if (outcome.fault != ExchangeFault::kNone) co_return outcome;
  if (may_send) connection->ResetOnClose(false);
  pool.Release(address, std::move(connection));
  co_return outcome;
}

}  // namespace ridgehold
