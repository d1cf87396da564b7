#include "fault_script.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>

#include "bounds.h"
#include "control/instance_records.h"

namespace ridgehold::soak {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kLook{10};        // how often a process is looked at
constexpr std::chrono::milliseconds kStopSlack{500};  // past the grace time, for a busy machine
constexpr double kKindPart = 0.4;                     // of all kinds, those that a seed has
constexpr double kHolderPart = 0.5;  // of the faults, those that hit the holder of the duty
// Longer than keys are trusted, so that some instances lose their trust.
constexpr int kLongestStoreFault = 5'500;  // ms
constexpr int kLongestSuspension = 4'500;  // ms; longer than keys are trusted
constexpr int kLongestPoison = 6'000;      // ms; longer than the time of contact
constexpr int kLongestRest = 3'000;        // ms
constexpr int kLongestLeaving = 4'000;     // ms; longer than a leaving takes to be heeded
// Longer than the time of contact, from which on a limit binds.
constexpr int kShortestLimit = 4'000;  // ms
constexpr int kLongestLimit = 9'000;   // ms
constexpr int kLeastLimit = 5;         // tenths of a request a second
constexpr int kMostLimit = 40;
constexpr int kShortestCut = 500;    // ms
constexpr int kLongestCut = 7'000;   // ms; longer than the time of contact
constexpr int kLeastRejections = 2;  // a second
constexpr int kMostRejections = 8;
constexpr double kFailingEngines = 0.9;
constexpr double kFailedPart = 0.95;     // of the requests of a failing engine
constexpr int kShortestFailure = 1'000;  // ms
constexpr int kLongestFailure = 8'000;   // ms
constexpr int kLongestBlackout = 3'000;  // ms
constexpr std::chrono::milliseconds kLongestRelease{4'000};
constexpr double kCompletedPart = 0.7;  // of the kills of all, those that follow a release
constexpr int kLongestLapse = 3'600;    // ms; three heartbeats of a server
constexpr double kAtOncePart = 0.4;     // of the killed engines, those that listen again at once
constexpr int kLongestDown = 200;       // ms
constexpr int kLongestLag = 100;        // ms, of the registration of a killed engine's next process
constexpr int kLongestInPlaceLag = 700;    // ms
constexpr int kLongestInPlacePause = 400;  // ms, between two engines
constexpr double kOddPart = 0.4;           // of the answers of an engine in trouble
constexpr double kEmptiedPart = 0.3;       // of the changes of workspaces
constexpr int kShortestEmpty = 100;        // ms, of the list of workspaces
constexpr int kLongestEmpty = 4'500;       // ms; longer than keys that were taken away may be used
constexpr double kSeriesPart = 0.4;        // of the faults, those followed at once

ProcessKill DrawKill(Random& random) {
  ProcessKill kill;
  kill.point = static_cast<KillPoint>(random.Between(0, 3));
  const bool at_once = random.Chance(kAtOncePart);
  if (!at_once) kill.down = random.Milliseconds(1, kLongestDown);
  return kill;
}

net::awaitable<void> WaitForEnd(InstanceProcess& process, std::chrono::milliseconds limit) {
  const TimePoint end = Clock::now() + limit;
  while (process.Running() && Clock::now() < end) co_await Sleep(kLook);
}

}  // namespace

const std::vector<std::pair<std::string, FaultKind>>& FaultScript::Names() {
  static const std::vector<std::pair<std::string, FaultKind>> names = {
      {"stop", FaultKind::kStop},
      {"kill", FaultKind::kKill},
      {"pause", FaultKind::kPause},
      {"store-link", FaultKind::kStoreLink},
      {"engine-link", FaultKind::kEngineLink},
      {"store-down", FaultKind::kStoreDown},
      {"engine-silent", FaultKind::kEngineSilent},
      {"engine-queue", FaultKind::kEngineQueue},
      {"engine-breaks", FaultKind::kEngineBreaks},
      {"keys", FaultKind::kKeys},
      {"weights", FaultKind::kWeights},
      {"poison", FaultKind::kPoison},
      {"suspend", FaultKind::kSuspend},
      {"limit", FaultKind::kLimit},
      {"rest", FaultKind::kRest},
      {"leave", FaultKind::kLeave},
      {"path", FaultKind::kPath},
      {"brittle", FaultKind::kBrittle},
      {"failing", FaultKind::kFailing},
      {"releases", FaultKind::kReleases},
      {"blackout", FaultKind::kBlackout},
      {"poison-part", FaultKind::kPoisonPart},
      {"reborn", FaultKind::kReborn},
      {"unframed", FaultKind::kUnframed},
      {"herd", FaultKind::kHerd},
      {"server-kill", FaultKind::kServerKill},
      {"in-place", FaultKind::kInPlace},
      {"out-of-step", FaultKind::kOutOfStep},
      {"odd-entries", FaultKind::kOddEntries},
      {"release-series", FaultKind::kReleaseSeries},
      {"in-place-unborn", FaultKind::kInPlaceUnborn},
      {"hangup", FaultKind::kHangUp},
      {"taken-port", FaultKind::kTakenPort},
      {"unread-output", FaultKind::kUnreadOutput},
      {"idle-flood", FaultKind::kIdleFlood},
      {"pipelined", FaultKind::kPipelined},
      {"endless", FaultKind::kEndless},
      {"stall", FaultKind::kStall},
      {"odd-answers", FaultKind::kOddAnswers},
      {"odd-requests", FaultKind::kOddRequests},
      {"workspaces", FaultKind::kWorkspaces}};
  return names;
}

std::set<FaultKind> FaultScript::Draw() {
  std::set<FaultKind> kinds = {FaultKind::kKeys, FaultKind::kWeights};
  // Kinds that came later draw from a copy, so that the others stay as each seed had them.
  Random later = random_;
  Random latest = Random(random_).Fork();
  Random newest = Random(latest).Fork();
  Random failing = Random(newest).Fork();
  Random blackout = Random(failing).Fork();
  Random poison_part = Random(blackout).Fork();
  Random reborn = Random(poison_part).Fork();
  Random server_kill = Random(reborn).Fork();
  for (const auto& [name, kind] : Names()) {
    // Played only when they are named.
    if (kind >= FaultKind::kOutOfStep) continue;
    Random& random = kind >= FaultKind::kServerKill   ? server_kill
                     : kind >= FaultKind::kReborn     ? reborn
                     : kind >= FaultKind::kPoisonPart ? poison_part
                     : kind >= FaultKind::kBlackout   ? blackout
                     : kind >= FaultKind::kFailing    ? failing
                     : kind >= FaultKind::kPath       ? newest
                     : kind >= FaultKind::kLimit      ? latest
                     : kind >= FaultKind::kPoison     ? later
                                                      : random_;
    if (random.Chance(kKindPart)) kinds.insert(kind);
  }
  return kinds;
}

void FaultScript::Select(std::set<FaultKind> kinds) {
  kinds_ = kinds.empty() ? Draw() : std::move(kinds);
}

void FaultScript::Start(net::any_io_executor executor, TimePoint end) {
  for (const FaultKind kind : kinds_) {
    net::co_spawn(executor, Repeat(kind, end), net::detached);
  }
}

net::awaitable<void> FaultScript::Repeat(FaultKind kind, TimePoint end) {
  Random random = random_.Fork();
  co_await Sleep(random.Milliseconds(500, 1'500));
  while (Clock::now() < end) {
    net::co_spawn(co_await net::this_coro::executor, Once(kind, random.Fork()), net::detached);
    const bool series = random.Chance(kSeriesPart);
    const auto pause = series ? random.Milliseconds(20, 300) : random.Milliseconds(700, 3'000);
    co_await Sleep(pause);
  }
}

net::awaitable<void> FaultScript::Once(FaultKind kind, Random random) {
  switch (kind) {
    case FaultKind::kStop:
      return Stop(random);
    case FaultKind::kKill:
      return Kill(random);
    case FaultKind::kPause:
      return Pause(random);
    case FaultKind::kStoreLink:
      return HarmLink(PickInstance(random).store_proxy, random);
    case FaultKind::kEngineLink:
      return HarmLink(Pick(targets_.engines, random).proxy(), random);
    case FaultKind::kStoreDown:
      return StoreDown(random);
    case FaultKind::kEngineSilent:
      return ChangeMood({.silent = true}, random);
    case FaultKind::kEngineQueue:
      return ChangeMood({.queue = random.Milliseconds(200, 3'000)}, random);
    case FaultKind::kEngineBreaks:
      return ChangeMood({.break_part = 0.3, .error_part = 0.1}, random);
    case FaultKind::kKeys:
      targets_.operator_log.ChangeKey(random);
      return Sleep(0ms);
    case FaultKind::kWeights:
      targets_.operator_log.NameWeights();
      return Sleep(0ms);
    case FaultKind::kPoison:
      return SendPoison(random);
    case FaultKind::kPoisonPart:
      return SendPoisonPart(random);
    case FaultKind::kSuspend:
      return Suspend(random);
    case FaultKind::kLimit:
      return NameLimit(random);
    case FaultKind::kRest:
      return ChangeMood({.need = {.rest = random.Milliseconds(300, kLongestRest)}}, random);
    case FaultKind::kLeave:
      return Pick(targets_.engines, random).Leave(random.Milliseconds(300, kLongestLeaving));
    case FaultKind::kPath:
      return CutPaths(random);
    case FaultKind::kBlackout:
      return Blackout(random);
    case FaultKind::kHerd:
      return Herd(random);
    case FaultKind::kBrittle:
      return MakeBrittle(random);
    case FaultKind::kFailing:
      return FailRequests(random);
    case FaultKind::kReborn:
      return Reboot(random);
    case FaultKind::kUnframed:
      return ChangeMood({.unframed = true}, random);
    case FaultKind::kServerKill:
      return KillServer(random);
    case FaultKind::kInPlace:
    case FaultKind::kInPlaceUnborn:
      return ReplaceInPlace(random);
    case FaultKind::kOutOfStep:
      return OutOfStep(random);
    case FaultKind::kOddEntries:
      return WriteOddEntries(random);
    case FaultKind::kReleaseSeries:
      return ReplaceReleaseAndKill(random);
    case FaultKind::kHangUp:
      return HangUp(random);
    case FaultKind::kTakenPort:
      return StartAtTakenPort(random);
    case FaultKind::kIdleFlood:
      return FloodWithIdle(random);
    case FaultKind::kEndless:
      return SendEndless(random);
    case FaultKind::kStall:
      return Stall(random);
    case FaultKind::kOddAnswers:
      return ChangeMood({.odd_part = kOddPart}, random);
    case FaultKind::kOddRequests:
      return Sleep(0ms);  // their callers send them all the time
    case FaultKind::kWorkspaces:
      return ChangeWorkspaces(random);
    case FaultKind::kPipelined:
      return Stop(random);  // the callers of this kind matter beside stops
    case FaultKind::kUnreadOutput:
      return Sleep(0ms);  // lasts for the whole run
    case FaultKind::kReleases:
      return Pick(targets_.engines, random)
          .Replace(random.Chance(0.5) ? "v1" : "v2", random.Milliseconds(300, kLongestLeaving));
  }
  return Sleep(0ms);
}

net::awaitable<void> FaultScript::CutPaths(Random random) {
  const Calm::Token token = targets_.calm.Begin(FaultClass::kPath);
  const auto cut = static_cast<PathCut>(random.Between(0, 2));
  const double part = random.Between(1, 10) / 10.0;
  std::vector<Instance*> chosen;
  for (const auto& instance : targets_.instances) {
    if (!random.Chance(part)) continue;
    chosen.push_back(instance.get());
  }
  for (Instance* instance : chosen) {
    targets_.path_check.BeginCut(*instance->process);
    for (const auto& path : instance->paths) path->Cut(cut);
  }
  co_await Sleep(random.Milliseconds(kShortestCut, kLongestCut));
  for (Instance* instance : chosen) {
    targets_.path_check.EndCut(*instance->process);
    for (const auto& path : instance->paths) path->Heal();
  }
}

net::awaitable<void> FaultScript::ChangeWorkspaces(Random random) {
  OperatorLog& log = targets_.operator_log;
  log.ChangeIsolated(random);
  if (emptied_ || !random.Chance(kEmptiedPart)) co_return;
  emptied_ = true;
  log.ToggleWorkspaces();
  co_await Sleep(random.Milliseconds(kShortestEmpty, kLongestEmpty));
  log.ToggleWorkspaces();
  emptied_ = false;
}

net::awaitable<void> FaultScript::Reboot(Random random) {
  const double part = random.Between(3, 10) / 10.0;
  const auto lapse = random.Milliseconds(500, kLongestLapse);
  const auto executor = co_await net::this_coro::executor;
  for (const auto& engine : targets_.engines) {
    if (random.Chance(part)) net::co_spawn(executor, engine->Reboot(lapse), net::detached);
  }
}

net::awaitable<void> FaultScript::KillServer(Random random) {
  SoakEngine& engine = Pick(targets_.engines, random);
  ProcessKill kill = DrawKill(random);
  kill.unframed = random.Chance(0.5);
  kill.lag = random.Milliseconds(0, kLongestLag);
  return engine.KillProcess(std::move(kill));
}

net::awaitable<void> FaultScript::ReplaceInPlace(Random random) {
  const auto executor = co_await net::this_coro::executor;
  const int engines = static_cast<int>(targets_.engines.size());
  const int first = random.Between(0, engines - 1);
  const int count = random.Between(1, engines);
  for (int i = 0; i < count; ++i) {
    SoakEngine& engine = *targets_.engines[static_cast<std::size_t>((first + i) % engines)];
    ProcessKill kill = DrawKill(random);
    kill.release = engine.release() == "v1" ? "v2" : "v1";
    kill.lag = random.Milliseconds(0, kLongestInPlaceLag);
    net::co_spawn(executor, engine.KillProcess(std::move(kill)), net::detached);
    co_await Sleep(random.Milliseconds(0, kLongestInPlacePause));
  }
}

net::awaitable<void> FaultScript::MakeBrittle(Random random) {
  const int engines = static_cast<int>(targets_.engines.size());
  const int most = random.Between(kLeastRejections, kMostRejections);
  for (const auto& engine : targets_.engines) engine->SetBrittle(most, engines);
  co_await Sleep(random.Milliseconds(kShortestLimit, kLongestLimit));
  for (const auto& engine : targets_.engines) {
    engine->SetBrittle(std::nullopt, engines);
  }
}

net::awaitable<void> FaultScript::FailRequests(Random random) {
  EngineMood mood;
  (random.Chance(0.5) ? mood.break_part : mood.error_part) = kFailedPart;
  std::vector<SoakEngine*> chosen;
  for (const auto& engine : targets_.engines) {
    if (random.Chance(kFailingEngines)) chosen.push_back(engine.get());
  }
  for (SoakEngine* engine : chosen) engine->SetMood(mood);
  co_await Sleep(random.Milliseconds(kShortestFailure, kLongestFailure));
  for (SoakEngine* engine : chosen) engine->SetMood({});
}

Instance& FaultScript::PickInstance(Random& random) {
  const auto& items = targets_.store.table().items();
  const auto holder = items.find(kRolloutHolderKey);
  if (holder != items.end() && random.Chance(kHolderPart)) {
    for (const auto& instance : targets_.instances) {
      // The value is the holder's name and address.
      if (holder->second.value.starts_with(instance->process->place().name + " ")) return *instance;
    }
  }
  return Pick(targets_.instances, random);
}

net::awaitable<void> FaultScript::Terminate(Instance& instance) {
  const int pauses = instance.pauses;
  const bool paused = instance.paused > 0;
  const bool takes_signals = instance.process->TakesSignals();
  instance.ending = true;
  instance.process->Signal(SIGTERM);
  co_await WaitForEnd(*instance.process, kShutdownLimit + kStopSlack);
  if (!instance.process->Running()) {
    const std::string signal = instance.process->EndSignal();
    if (takes_signals && !signal.empty()) {
      targets_.verdict.Fail("process ends by itself", instance.process->place().name,
                            signal + " after SIGTERM");
    }
    co_return;
  }
  if (!paused && instance.pauses == pauses) {
    targets_.verdict.Fail("process outlives its grace time", instance.process->place().name, "");
  }
  instance.process->Signal(SIGKILL);
  co_await WaitForEnd(*instance.process, kStopSlack);
}

net::awaitable<void> FaultScript::Stop(Random random) {
  Instance& instance = PickInstance(random);
  if (instance.ending) co_return;
  co_await Restart(instance, random.Milliseconds(0, 800));
}

net::awaitable<void> FaultScript::Kill(Random random) {
  Instance& instance = PickInstance(random);
  if (instance.ending) co_return;
  co_await KillInstance(instance, random.Milliseconds(0, 800));
}

net::awaitable<void> FaultScript::KillInstance(Instance& instance, std::chrono::milliseconds down) {
  const Calm::Token token = targets_.calm.Begin(FaultClass::kProcess);
  instance.ending = true;
  instance.process->Signal(SIGKILL);
  co_await WaitForEnd(*instance.process, kStopSlack);
  co_await Sleep(down);
  instance.process->Start();
  instance.ending = false;
}

net::awaitable<void> FaultScript::CompleteRelease(Random random) {
  const std::string release = random.Chance(0.5) ? "v1" : "v2";
  const auto executor = co_await net::this_coro::executor;
  const auto runs_other = [&](const auto& engine) { return engine->release() != release; };
  for (const auto& engine : targets_.engines) {
    if (!runs_other(engine)) continue;
    net::co_spawn(executor, engine->Replace(release, random.Milliseconds(100, 300)), net::detached);
  }
  const TimePoint limit = Clock::now() + kLongestRelease;
  while (std::ranges::any_of(targets_.engines, runs_other) && Clock::now() < limit) {
    co_await Sleep(kLook);
  }
}

net::awaitable<void> FaultScript::Herd(Random random) {
  const bool completes = Selected(FaultKind::kReleases) && random.Chance(kCompletedPart);
  if (completes) co_await CompleteRelease(random);
  co_await Blackout(random);
}

net::awaitable<void> FaultScript::Blackout(Random random) {
  return KillAll(random.Milliseconds(200, kLongestBlackout));
}

net::awaitable<void> FaultScript::KillAll(std::chrono::milliseconds down) {
  const Calm::Token token = targets_.calm.Begin(FaultClass::kProcess);
  std::vector<Instance*> off;
  for (const auto& instance : targets_.instances) {
    if (instance->ending) continue;
    instance->ending = true;
    instance->process->Signal(SIGKILL);
    off.push_back(instance.get());
  }
  for (Instance* instance : off) co_await WaitForEnd(*instance->process, kStopSlack);
  co_await Sleep(down);
  std::vector<StartedProcess> started;
  for (Instance* instance : off) {
    instance->process->Start();
    instance->ending = false;
    started.push_back({instance, instance->process->serial()});
  }
  // The fault is at work, for the other checks, until the fleet is back.
  co_await AwaitReadiness(std::move(started), kRecoveryTime,
                          "instance is not ready in time after a loss of power of all");
}

net::awaitable<void> FaultScript::Pause(Random random) {
  Instance& instance = PickInstance(random);
  const Calm::Token token = targets_.calm.Begin(FaultClass::kHeld);
  ++instance.pauses;
  ++instance.paused;
  instance.process->Signal(SIGSTOP);
  co_await Sleep(random.Milliseconds(50, 4'000));
  if (--instance.paused == 0) instance.process->Signal(SIGCONT);
}

net::awaitable<void> FaultScript::Suspend(Random random) {
  Instance& instance = PickInstance(random);
  if (instance.ending || instance.paused > 0) co_return;
  const Calm::Token token = targets_.calm.Begin(FaultClass::kHeld);
  ++instance.pauses;
  ++instance.paused;
  const int serial = instance.process->serial();
  instance.process->Signal(SIGSTOP);
  const TimePoint begun = Clock::now();
  co_await Sleep(random.Milliseconds(200, kLongestSuspension));
  const auto asleep = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begun);
  // A process that has been started in its place meanwhile did not sleep.
  const bool is_same = instance.process->serial() == serial;
  if (is_same) instance.process->Queue(SIGRTMIN, static_cast<int>(asleep.count()));
  if (--instance.paused == 0) instance.process->Signal(SIGCONT);
}

net::awaitable<void> FaultScript::SendPoison(Random random) {
  targets_.poison.Start();
  co_await Sleep(random.Milliseconds(500, kLongestPoison));
  targets_.poison.Stop();
}

net::awaitable<void> FaultScript::SendPoisonPart(Random random) {
  targets_.poison.StartPart();
  co_await Sleep(random.Milliseconds(500, kLongestPoison));
  targets_.poison.StopPart();
}

net::awaitable<void> FaultScript::HarmLink(FaultProxy& proxy, Random random) {
  const Calm::Token token = targets_.calm.Begin(FaultClass::kHeld);
  LinkState state;
  const int harm = random.Between(0, 4);
  if (harm == 0) state.delay = random.Milliseconds(20, 200);
  if (harm == 1 || harm == 2) state.hold_to_server = true;
  if (harm == 1 || harm == 3) state.hold_to_client = true;
  if (harm == 4) state.refuse_new = random.Chance(0.5);
  proxy.Set(state);
  if (harm == 4) proxy.Reset();
  co_await Sleep(random.Milliseconds(100, 3'000));
  // Bytes that were held are lost with their connection, or come now.
  if (random.Chance(0.5)) proxy.Reset();
  proxy.Set({});
}

net::awaitable<void> FaultScript::StoreDown(Random random) {
  const Calm::Token token = targets_.calm.Begin(FaultClass::kProcess);
  targets_.store.SetUnavailable(true);
  co_await Sleep(random.Milliseconds(100, kLongestStoreFault));
  targets_.store.SetUnavailable(false);
}

net::awaitable<void> FaultScript::NameLimit(Random random) {
  SoakEngine& engine = Pick(targets_.engines, random);
  engine.SetMood({.need = {.limit = random.Between(kLeastLimit, kMostLimit) / 10.0}});
  co_await Sleep(random.Milliseconds(kShortestLimit, kLongestLimit));
  engine.SetMood({});
}

net::awaitable<void> FaultScript::ChangeMood(EngineMood mood, Random random) {
  SoakEngine& engine = Pick(targets_.engines, random);
  engine.SetMood(mood);
  co_await Sleep(random.Milliseconds(200, 2'500));
  engine.SetMood({});
}

}  // namespace ridgehold::soak
