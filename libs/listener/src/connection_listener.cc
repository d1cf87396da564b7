#include "listener/connection_listener.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "log/log.h"
#include "net/wait.h"

namespace ridgehold {
namespace {

AcceptBackoff::Fault FaultOf(const ErrorCode& error) {
  namespace errc = boost::system::errc;
  const bool client = error == errc::connection_aborted || error == errc::connection_reset ||
                      error == errc::interrupted;
  return client ? AcceptBackoff::Fault::kClient : AcceptBackoff::Fault::kShortage;
}

}  // namespace

net::awaitable<std::optional<tcp::socket>> ConnectionListener::Accept() {
  while (acceptor_.is_open()) {
    ErrorCode error;
    tcp::socket socket =
        co_await acceptor_.async_accept(net::redirect_error(net::use_awaitable, error));
    if (!acceptor_.is_open()) break;
    if (!error) {
      backoff_.OnSuccess();
      co_return std::move(socket);
    }
    co_await Recover(error);
  }
  co_return std::nullopt;
}

net::awaitable<void> ConnectionListener::Recover(ErrorCode error) {
  const AcceptBackoff::Decision decision = backoff_.OnFailure(FaultOf(error), Clock::now());
  if (decision.failures_to_log > 0) {
    Log(LogLevel::kWarn, "accepting connections failed",
        {{"port", name_},
         {"detail", error.message()},
         {"failures", std::to_string(decision.failures_to_log)}});
  }
  if (decision.pause > decision.pause.zero()) co_await WaitFor(pause_timer_, decision.pause);
}

void ConnectionListener::Close() {
  ErrorCode ignored;
  acceptor_.close(ignored);
  pause_timer_.cancel();
}

}  // namespace ridgehold
