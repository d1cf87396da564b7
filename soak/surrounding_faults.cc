// The faults of what surrounds a process: signals, ports that are taken, idle connections.

#include <csignal>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "endless_sender.h"
#include "fault_script.h"
#include "idle_connections.h"
#include "port_holder.h"

namespace ridgehold::soak {
namespace {

using namespace std::chrono_literals;

constexpr double kRestartPart = 0.8;  // of the hangups, those that begin with a start
constexpr double kBlockedPart = 0.5;  // of these starts, those with blocked signals
constexpr double kAtOncePart = 0.5;   // of these starts, those hung up as soon as they can be
constexpr int kMostHangUps = 20;
constexpr int kLongestHangUpPause = 20;  // ms
constexpr int kLongestUntilHangUp = 40;  // ms, from the fork on
constexpr int kLongestBetween = 300;     // ms, from the end of a process to the next start
// On a busy machine loading takes long.
constexpr std::chrono::seconds kLoadingLimit{2};
constexpr int kShortestHold = 200;           // ms
constexpr int kLongestHold = 3'000;          // ms
constexpr double kStopWhileHeldPart = 0.25;  // of the starts at a taken port
constexpr int kLeastIdle = 200;              // connections to a port
constexpr int kMostIdle = 400;
constexpr int kShortestFlood = 1'000;  // ms
constexpr int kLongestFlood = 4'000;   // ms
constexpr std::chrono::milliseconds kFloodBegins{300};
constexpr std::chrono::milliseconds kServedBesideFlood{2'000};
constexpr int kLeastEndless = 2;  // connections
constexpr int kMostEndless = 12;
constexpr double kEndlessServerPart = 0.5;  // of the faults, those with an engine that does so, too

struct Port {
  std::uint16_t number;
  Transport transport;
};

constexpr std::array kPorts = {Port{kCallerPort, Transport::kTcp},
                               Port{kReadyPort, Transport::kTcp}, Port{kPeerPort, Transport::kTcp},
                               Port{kPeerPort, Transport::kUdp}};
constexpr std::array<std::uint16_t, 4> kFloodedPorts = {kCallerPort, kReadyPort, kPeerPort,
                                                        kMetricsPort};

}  // namespace

net::awaitable<void> FaultScript::Restart(Instance& instance, std::chrono::milliseconds down) {
  const Calm::Token token = targets_.calm.Begin(FaultClass::kPlanned);
  co_await Terminate(instance);
  co_await Sleep(down);
  instance.process->Start();
  instance.ending = false;
}

net::awaitable<void> FaultScript::SendHangUp(Instance& instance) {
  const int serial = instance.process->serial();
  const TimePoint limit = Clock::now() + kLoadingLimit;
  // No program can take a signal before it has been loaded.
  while (!instance.process->TakesSignals()) {
    if (instance.process->serial() != serial || Clock::now() >= limit) co_return;
    co_await Sleep(1ms);
  }
  instance.process->Signal(SIGHUP);
  ++counts_.hang_ups;
}

net::awaitable<void> FaultScript::HangUp(Random random) {
  Instance& instance = PickInstance(random);
  const int count = random.Between(1, kMostHangUps);
  if (!instance.ending && random.Chance(kRestartPart)) {
    instance.process->SetSignalsBlocked(random.Chance(kBlockedPart));
    co_await Restart(instance, random.Milliseconds(0, kLongestBetween));
    ++counts_.starts_with_hang_ups;
    const bool at_once = random.Chance(kAtOncePart);
    if (!at_once) co_await Sleep(random.Milliseconds(0, kLongestUntilHangUp));
  }
  for (int i = 0; i < count; ++i) {
    co_await SendHangUp(instance);
    co_await Sleep(random.Milliseconds(0, kLongestHangUpPause));
  }
}

net::awaitable<void> FaultScript::StartAtTakenPort(Random random) {
  Instance& instance = PickInstance(random);
  if (instance.ending) co_return;
  const Calm::Token token = targets_.calm.Begin(FaultClass::kPlanned);
  const Port port = kPorts.at(static_cast<std::size_t>(random.Between(0, kPorts.size() - 1)));
  const auto hold = random.Milliseconds(kShortestHold, kLongestHold);
  const bool stops = random.Chance(kStopWhileHeldPart);
  co_await Terminate(instance);
  const auto executor = co_await net::this_coro::executor;
  auto holder = std::make_unique<PortHolder>(executor, instance.process->place().address,
                                             port.number, port.transport);
  if (holder->held()) ++counts_.taken_ports;
  instance.process->Start();
  instance.ending = false;
  co_await Sleep(hold / 2);
  if (stops && !instance.ending) co_await Restart(instance, 0ms);
  co_await Sleep(hold / 2);
  holder.reset();
  std::vector<StartedProcess> started = {{&instance, instance.process->serial()}};
  co_await AwaitReadiness(std::move(started), kRecoveryTime,
                          "instance is not ready in time after its ports are free");
}

net::awaitable<void> FaultScript::FloodWithIdle(Random random) {
  if (flooding_) co_return;
  flooding_ = true;
  const Instance& instance = PickInstance(random);
  IdleConnections idle(co_await net::this_coro::executor, instance.process->place().address);
  for (const std::uint16_t port : kFloodedPorts) {
    counts_.idle_connections += idle.Open(port, random.Between(kLeastIdle, kMostIdle));
  }
  const TimePoint end = Clock::now() + random.Milliseconds(kShortestFlood, kLongestFlood);
  co_await Sleep(kFloodBegins);
  const StartedProcess process{&instance, instance.process->serial()};
  const std::vector<StartedProcess> processes = {process};
  co_await AwaitReadiness(processes, kServedBesideFlood,
                          "instance is not ready beside idle connections");
  co_await AwaitAnswer(process, kServedBesideFlood);
  while (Clock::now() < end) co_await Sleep(10ms);
  flooding_ = false;
}

net::awaitable<void> FaultScript::SendEndless(Random random) {
  if (flooding_) co_return;
  flooding_ = true;
  const auto executor = co_await net::this_coro::executor;
  const Instance& instance = PickInstance(random);
  const std::uint16_t port =
      kFloodedPorts.at(static_cast<std::size_t>(random.Between(0, kFloodedPorts.size() - 1)));
  const TimePoint end = Clock::now() + random.Milliseconds(kShortestFlood, kLongestFlood);
  const int count = random.Between(kLeastEndless, kMostEndless);
  for (int i = 0; i < count; ++i) {
    const auto sender = EndlessSender::Create(executor, instance.process->place().address, port,
                                              EndlessPart::Draw(random));
    net::co_spawn(executor, sender->Run(end), net::detached);
  }
  counts_.endless_senders += count;
  SoakEngine& engine = Pick(targets_.engines, random);
  if (random.Chance(kEndlessServerPart)) engine.SetMood({.endless = EndlessPart::Draw(random)});
  co_await Sleep(kFloodBegins);
  const StartedProcess process{&instance, instance.process->serial()};
  const std::vector<StartedProcess> processes = {process};
  co_await AwaitReadiness(processes, kServedBesideFlood,
                          "instance is not ready beside endless requests");
  co_await AwaitAnswer(process, kServedBesideFlood);
  while (Clock::now() < end) co_await Sleep(10ms);
  engine.SetMood({});
  flooding_ = false;
}

}  // namespace ridgehold::soak
