// The faults around what engines register: releases that replace each other as a whole, and entries
// that no engine writes.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>

#include "fault_script.h"
#include "odd_entries.h"
#include "platform/names.h"

namespace ridgehold::soak {
namespace {

constexpr int kShortestOutOfStep = 300;  // ms
constexpr int kLongestOutOfStep = 3'000;
constexpr double kStoppedPart = 0.3;       // of the instances out of step; the others are cut off
constexpr double kBreakServersPart = 0.4;  // otherwise the instances that carry streams are killed
constexpr double kBrokenPart = 0.5;        // of the streams of the release that joins
constexpr double kKilledPart = 0.7;        // of the other instances
constexpr std::chrono::milliseconds kLongestRetirement{4'000};
constexpr double kHarmedStorePart = 0.5;   // of the releases
constexpr int kShortestHarm = 500;         // ms
constexpr int kLongestHarm = 4'000;        // ms
constexpr int kShortestUntilKill = 1'000;  // ms, from the first registration on
constexpr int kLongestUntilKill = 6'000;   // ms
constexpr int kMostOddEntries = 6;
constexpr int kLongestOddEntry = 3'000;  // ms
constexpr std::chrono::milliseconds kLook{10};

}  // namespace

std::string FaultScript::JoinNextRelease() {
  std::string release = "v1." + std::to_string(++releases_);
  for (const auto& engine : targets_.engines) {
    if (engine->resting()) engine->Join(release);
  }
  return release;
}

void FaultScript::SetMoodOf(const std::string& release, const EngineMood& mood) {
  for (const auto& engine : targets_.engines) {
    if (!engine->resting() && engine->release() == release) engine->SetMood(mood);
  }
}

net::awaitable<void> FaultScript::RetireAllBut(std::string release,
                                               std::chrono::milliseconds notice) {
  const auto executor = co_await net::this_coro::executor;
  const auto is_old = [&](const auto& engine) {
    return !engine->resting() && engine->release() != release;
  };
  for (const auto& engine : targets_.engines) {
    if (is_old(engine)) net::co_spawn(executor, engine->Retire(notice), net::detached);
  }
  const TimePoint limit = Clock::now() + kLongestRetirement;
  while (std::ranges::any_of(targets_.engines, is_old) && Clock::now() < limit) {
    co_await Sleep(kLook);
  }
}

net::awaitable<void> FaultScript::HoldOutOfStep(Instance& instance, bool stopped,
                                                std::chrono::milliseconds length) {
  const Calm::Token token = targets_.calm.Begin(FaultClass::kHeld);
  if (stopped) {
    ++instance.pauses;
    ++instance.paused;
    instance.process->Signal(SIGSTOP);
    co_await Sleep(length);
    if (--instance.paused == 0) instance.process->Signal(SIGCONT);
    co_return;
  }
  const std::string own = instance.process->place().address;
  targets_.peers.Cut(own);
  instance.store_proxy.Silence();
  co_await Sleep(length);
  instance.store_proxy.Restore();
  targets_.peers.Heal(own);
}

net::awaitable<void> FaultScript::BreakStreams(const Instance& spared, std::string release,
                                               Random random) {
  const auto executor = co_await net::this_coro::executor;
  if (random.Chance(kBreakServersPart)) {
    for (const auto& engine : targets_.engines) {
      if (engine->release() != release || !engine->serving()) continue;
      ProcessKill kill;
      kill.down = random.Milliseconds(1, 100);
      net::co_spawn(executor, engine->KillProcess(std::move(kill)), net::detached);
    }
    co_return;
  }
  for (const auto& instance : targets_.instances) {
    if (instance.get() == &spared || instance->ending || !random.Chance(kKilledPart)) continue;
    net::co_spawn(executor, KillInstance(*instance, random.Milliseconds(200, 1'000)),
                  net::detached);
  }
}

net::awaitable<void> FaultScript::OutOfStep(Random random) {
  Instance& instance = Pick(targets_.instances, random);
  if (releasing_ || instance.ending) co_return;
  releasing_ = true;
  const auto executor = co_await net::this_coro::executor;
  const auto length = random.Milliseconds(kShortestOutOfStep, kLongestOutOfStep);
  const TimePoint end = Clock::now() + length;
  net::co_spawn(executor, HoldOutOfStep(instance, random.Chance(kStoppedPart), length),
                net::detached);
  const int quarter = static_cast<int>(length.count()) / 4;
  co_await Sleep(random.Milliseconds(0, quarter));
  const std::string release = JoinNextRelease();
  SetMoodOf(release, {.break_part = kBrokenPart});
  co_await Sleep(random.Milliseconds(quarter / 2, quarter * 2));
  co_await BreakStreams(instance, release, random.Fork());
  while (Clock::now() < end) co_await Sleep(kLook);
  SetMoodOf(release, {});
  co_await Sleep(random.Milliseconds(0, 1'500));
  co_await RetireAllBut(release, random.Milliseconds(100, 600));
  co_await Sleep(random.Milliseconds(500, 1'500));
  releasing_ = false;
}

net::awaitable<void> FaultScript::HarmStore(bool writes_only, std::chrono::milliseconds length) {
  const Calm::Token token = targets_.calm.Begin(FaultClass::kProcess);
  const auto set = [&](bool harmed) {
    if (writes_only) return targets_.store.SetReadOnly(harmed);
    targets_.store.SetUnavailable(harmed);
  };
  set(true);
  co_await Sleep(length);
  set(false);
}

net::awaitable<void> FaultScript::ReplaceReleaseAndKill(Random random) {
  if (releasing_) co_return;
  releasing_ = true;
  const auto executor = co_await net::this_coro::executor;
  if (random.Chance(kHarmedStorePart)) {
    const auto length = random.Milliseconds(kShortestHarm, kLongestHarm);
    net::co_spawn(executor, HarmStore(random.Chance(0.5), length), net::detached);
    co_await Sleep(random.Milliseconds(0, kShortestHarm));
  }
  const auto until_kill = random.Milliseconds(kShortestUntilKill, kLongestUntilKill);
  const TimePoint kill_at = Clock::now() + until_kill;
  const std::string release = JoinNextRelease();
  SetMoodOf(release, {.break_part = kBrokenPart});
  co_await Sleep(random.Milliseconds(0, 900));
  co_await RetireAllBut(release, random.Milliseconds(0, 100));
  while (Clock::now() < kill_at) co_await Sleep(kLook);
  co_await KillAll(random.Milliseconds(1'000, 2'000));
  SetMoodOf(release, {});
  releasing_ = false;
}

net::awaitable<void> FaultScript::WriteOddEntries(Random random) {
  const int count = random.Between(1, kMostOddEntries);
  std::vector<std::string> keys;
  for (int i = 0; i < count; ++i) {
    keys.push_back(platform::key::kBackendPrefix + ("odd-" + std::to_string(random.Between(1, 9))));
    targets_.store.table().Put(keys.back(), DrawOddEntry(random));
  }
  co_await Sleep(random.Milliseconds(100, kLongestOddEntry));
  for (const std::string& key : keys) targets_.store.table().Remove(key);
}

}  // namespace ridgehold::soak
