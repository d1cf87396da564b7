#include "task/spawn.h"

#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <utility>

#include "log/log.h"
#include "net/timer.h"
#include "net/wait.h"

namespace ridgehold {
namespace {

net::awaitable<void> RunDuty(net::any_io_executor executor, std::string name, Duty duty) {
  Timer timer(executor);
  for (;;) {
    std::exception_ptr error;
    try {
      co_await duty();
    } catch (...) {
      error = std::current_exception();
    }
    if (!error) co_return;
    LogException(name, error);
    co_await WaitFor(timer, kDutyRestartDelay);
  }
}

}  // namespace

void LogException(const std::string& name, const std::exception_ptr& error) {
  std::string detail = "unknown exception";
  try {
    std::rethrow_exception(error);
  } catch (const std::exception& exception) {
    detail = exception.what();
  } catch (...) {  // `detail` says so
  }
  Log(LogLevel::kError, "unexpected exception", {{"task", name}, {"detail", detail}});
}

void Spawn(net::any_io_executor executor, std::string name, net::awaitable<void> task,
           std::function<void()> on_exception) {
  net::co_spawn(executor, std::move(task),
                [name = std::move(name),
                 on_exception = std::move(on_exception)](const std::exception_ptr& error) {
                  if (!error) return;
                  LogException(name, error);
                  if (on_exception) on_exception();
                });
}

void SpawnDuty(net::any_io_executor executor, std::string name, Duty duty) {
  std::string task = name;
  Spawn(executor, std::move(task), RunDuty(executor, std::move(name), std::move(duty)));
}

}  // namespace ridgehold
