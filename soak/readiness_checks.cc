// Judges whether instances are ready and answer when the faults played are no reason not to.

#include "fault_script.h"
#include "net/http_call.h"
#include "platform/names.h"

namespace ridgehold::soak {
namespace {

constexpr std::chrono::milliseconds kLook{10};  // how often an instance is asked

}  // namespace

net::awaitable<unsigned> FaultScript::StatusAt(const Instance& instance, int port,
                                               std::chrono::milliseconds timeout) {
  constexpr unsigned kHttp11 = 11;
  const auto executor = co_await net::this_coro::executor;
  ConnectionPool pool(executor, ConnectionPool::Options{.connect_timeout = timeout});
  const std::string address = instance.process->place().address + ":" + std::to_string(port);
  RequestMessage request(http::verb::get, platform::path::kReady, kHttp11);
  request.set(http::field::host, address);
  const CallLimits limits{timeout};
  const CallResult result = co_await Call(pool, address, std::move(request), limits);
  co_return result.fault == ExchangeFault::kNone ? result.response.result_int() : 0;
}

bool FaultScript::IsReplaced(const StartedProcess& process) {
  const Instance& instance = *process.instance;
  return instance.ending || instance.process->serial() != process.serial;
}

bool FaultScript::OnlyHarmless() const {
  // Other faults keep instances from being ready.
  const std::set<FaultKind> harmless = {
      FaultKind::kKeys,      FaultKind::kWeights,   FaultKind::kBlackout,
      FaultKind::kHangUp,    FaultKind::kTakenPort, FaultKind::kUnreadOutput,
      FaultKind::kIdleFlood, FaultKind::kPipelined, FaultKind::kEndless};
  return std::ranges::includes(harmless, kinds_);
}

net::awaitable<void> FaultScript::AwaitReadiness(std::vector<StartedProcess> started,
                                                 std::chrono::milliseconds limit,
                                                 std::string promise) {
  constexpr std::chrono::milliseconds kTimeout{300};
  constexpr unsigned kReady = 200;
  const TimePoint end = Clock::now() + limit;
  while (!started.empty() && Clock::now() < end) {
    const unsigned status = co_await StatusAt(*started.back().instance, kReadyPort, kTimeout);
    // A later blackout judges those that it stops.
    if (status == kReady || IsReplaced(started.back())) {
      started.pop_back();
    } else {
      co_await Sleep(kLook);
    }
  }
  if (started.empty() || !OnlyHarmless()) co_return;
  targets_.verdict.Fail(std::move(promise), started.back().instance->process->place().name, "");
}

net::awaitable<void> FaultScript::AwaitAnswer(StartedProcess process,
                                              std::chrono::milliseconds limit) {
  const TimePoint end = Clock::now() + limit;
  unsigned status = 0;
  while (status == 0 && !IsReplaced(process) && Clock::now() < end) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now());
    status = co_await StatusAt(*process.instance, kCallerPort, left);
    if (status == 0) co_await Sleep(kLook);
  }
  if (status != 0 || IsReplaced(process) || !OnlyHarmless()) co_return;
  targets_.verdict.Fail("new callers are not served beside idle or endless connections",
                        process.instance->process->place().name, "");
}

}  // namespace ridgehold::soak
