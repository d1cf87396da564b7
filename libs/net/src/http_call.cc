#include "net/http_call.h"

namespace ridgehold {
namespace {

// Far above any answer of the store or of a control call.
constexpr std::size_t kMaxAnswerBytes = std::size_t{16} << 20;

}  // namespace

net::awaitable<CallOutcome> Call(ConnectionPool& pool, std::string address, RequestMessage request,
                                 std::chrono::milliseconds limit, MaySend may_send) {
  const TimePoint until = Clock::now() + limit;
  Checkout checkout = co_await pool.Acquire(address, until);
  CallOutcome outcome;
  outcome.fault = checkout.fault;
  if (outcome.fault != ExchangeFault::kNone) co_return outcome;
  auto connection = std::move(checkout.connection);
  if (may_send && !may_send()) {
    pool.Release(address, std::move(connection));
    outcome.fault = ExchangeFault::kNotSent;
    co_return outcome;
  }
  // What was sent under a condition is not to arrive after the process's end.
  if (may_send) connection->ResetOnClose(true);
  connection->StartRequest(request);
  outcome.fault = co_await connection->ReadHead(until);
  if (outcome.fault != ExchangeFault::kNone) co_return outcome;
  outcome.answer.base() = connection->head();
  outcome.fault = co_await connection->ReadWholeBody(outcome.answer.body(), kMaxAnswerBytes, until);
  if (outcome.fault != ExchangeFault::kNone) co_return outcome;
  if (may_send) connection->ResetOnClose(false);
  pool.Release(address, std::move(connection));
  co_return outcome;
}

}  // namespace ridgehold
