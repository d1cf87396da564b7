// Instances that are held up beside changes of the configuration.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>

#include "fault_script.h"

namespace ridgehold::soak {
namespace {

constexpr double kStalledPart = 0.4;  // of the instances, by one fault
constexpr int kLongestStagger = 500;  // ms, between the stops of one fault
constexpr int kShortestStall = 100;   // ms
constexpr int kLongestStall = 3'000;  // ms
constexpr int kFewestRoutes = 500;    // more than usual
constexpr int kMostRoutes = 2'000;
constexpr int kFewestSpareKeys = 3;
constexpr int kMostSpareKeys = 8;
constexpr int kShortestBetweenKeys = 20;   // ms
constexpr int kLongestBetweenKeys = 300;   // ms
constexpr double kIdleLimitPart = 0.5;     // of the changes, those followed by another idle limit
constexpr int kShortestIdleLimit = 1'000;  // ms
constexpr int kLongestIdleLimit = 5'000;   // ms

}  // namespace

net::awaitable<void> FaultScript::Stall(Random random) {
  const auto executor = co_await net::this_coro::executor;
  const auto hold_up = [&](Instance& instance) {
    const auto begin = random.Milliseconds(0, kLongestStagger);
    const auto length = random.Milliseconds(kShortestStall, kLongestStall);
    net::co_spawn(executor, HoldUp(instance, begin, length), net::detached);
  };
  hold_up(Pick(targets_.instances, random));
  for (const auto& instance : targets_.instances) {
    if (random.Chance(kStalledPart)) hold_up(*instance);
  }
  if (changing_) co_return;
  changing_ = true;
  co_await ChangeConfigurations(random);
  changing_ = false;
}

net::awaitable<void> FaultScript::HoldUp(Instance& instance, std::chrono::milliseconds begin,
                                         std::chrono::milliseconds length) {
  co_await Sleep(begin);
  if (instance.paused > 0) co_return;
  const Calm::Token token = targets_.calm.Begin(FaultClass::kHeld);
  ++counts_.stalls;
  ++instance.pauses;
  ++instance.paused;
  instance.process->Signal(SIGSTOP);
  co_await Sleep(length);
  if (--instance.paused == 0) instance.process->Signal(SIGCONT);
}

net::awaitable<void> FaultScript::ChangeConfigurations(Random random) {
  OperatorLog& log = targets_.operator_log;
  log.AddRoutes(random.Between(kFewestRoutes, kMostRoutes),
                random.Between(kFewestSpareKeys, kMostSpareKeys));
  ++counts_.configurations;
  for (bool more = true; more;) {
    co_await Sleep(random.Milliseconds(kShortestBetweenKeys, kLongestBetweenKeys));
    if (random.Chance(kIdleLimitPart)) {
      log.SetIdleLimit(random.Milliseconds(kShortestIdleLimit, kLongestIdleLimit));
      ++counts_.configurations;
      co_await Sleep(random.Milliseconds(kShortestBetweenKeys, kLongestBetweenKeys));
    }
    more = log.TakeSpareKey();
    if (more) ++counts_.configurations;
  }
}

}  // namespace ridgehold::soak
