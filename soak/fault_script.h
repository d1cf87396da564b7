// Injects faults from outside the processes, in series that overlap.

#pragma once

#include <set>
#include <string>
#include <vector>

#include "calm.h"
#include "fakes.h"
#include "fault_proxy.h"
#include "instance_path.h"
#include "instance_process.h"
#include "operator_log.h"
#include "path_check.h"
#include "peer_network.h"
#include "random.h"
#include "soak_engine.h"
#include "verdict.h"

namespace ridgehold::soak {

/// An instance with its own way to the store.
struct Instance {
  Instance(net::any_io_executor executor, const std::string& store)
      : store_proxy(executor, store) {}

  FaultProxy store_proxy;
  std::vector<std::shared_ptr<InstancePath>> paths;  ///< to each engine, where paths are cut
  std::unique_ptr<InstanceProcess> process;
  bool ending = false;  ///< its process has been told to end, or is away
  int pauses = 0;       ///< pauses so far
  int paused = 0;       ///< pauses at work
};

enum class FaultKind {
  kStop,
  kKill,
  kPause,
  kStoreLink,
  kEngineLink,
  kStoreDown,
  kEngineSilent,
  kEngineQueue,
  kEngineBreaks,
  kKeys,
  kWeights,
  kPoison,
  kSuspend,
  kLimit,
  kRest,
  kLeave,
  kPath,
  kBrittle,
  kFailing,
  kReleases,
  kBlackout,
  kPoisonPart,
  kReborn,
  kUnframed,
  kHerd,
  kServerKill,
  kInPlace,
  kOutOfStep,
  kOddEntries,
  kReleaseSeries,
  kInPlaceUnborn,
  kHangUp,
  kTakenPort,
  kUnreadOutput,
  kIdleFlood,
  kPipelined,
  kEndless,
  kStall,
  kOddAnswers,
  kOddRequests,
  kWorkspaces,
};

/// A process of an instance, which may have been replaced since.
struct StartedProcess {
  const Instance* instance = nullptr;
  int serial = 0;
};

/// How often the surroundings of processes were faulty.
struct SurroundingCounts {
  int hang_ups = 0;
  int starts_with_hang_ups = 0;  ///< that were followed by hangups at once
  int taken_ports = 0;
  int idle_connections = 0;
  int endless_senders = 0;
  int stalls = 0;
  int configurations = 0;  ///< that came beside stalls
};

/// What the faults work on.
struct FaultTargets {
  std::vector<std::unique_ptr<Instance>>& instances;
  std::vector<std::unique_ptr<SoakEngine>>& engines;
  platform::test::FakeStore& store;
  OperatorLog& operator_log;
  Poison& poison;
  Calm& calm;
  PathCheck& path_check;
  PeerNetwork& peers;
  Verdict& verdict;
};

/// Repeats faults of some kinds until an end.
class FaultScript {
 public:
  /// What the sheet of the largest fleet allows.
  static constexpr std::chrono::seconds kRecoveryTime{18};

  FaultScript(FaultTargets targets, Random random) : targets_(targets), random_(random) {}

  /// Selects the faults named, or draws some if none is.
  void Select(std::set<FaultKind> kinds);
  bool Selected(FaultKind kind) const { return kinds_.contains(kind); }

  /// Starts the faults selected.
  void Start(net::any_io_executor executor, TimePoint end);

  /// Ends an instance's process in order; kills one that takes too long.
  net::awaitable<void> Terminate(Instance& instance);

  const SurroundingCounts& counts() const { return counts_; }

  static const std::vector<std::pair<std::string, FaultKind>>& Names();

 private:
  std::set<FaultKind> Draw();
  net::awaitable<void> Repeat(FaultKind kind, TimePoint end);
  net::awaitable<void> Once(FaultKind kind, Random random);
  net::awaitable<void> Stop(Random random);
  net::awaitable<void> Kill(Random random);
  net::awaitable<void> Pause(Random random);
  /// The machine sleeps: the process stops, and its steady clock with it.
  net::awaitable<void> Suspend(Random random);
  /// Callers send copies of one request that ends engines.
  net::awaitable<void> SendPoison(Random random);
  net::awaitable<void> SendPoisonPart(Random random);
  net::awaitable<void> HarmLink(FaultProxy& proxy, Random random);
  /// Some instances lose their ways to all engines.
  net::awaitable<void> CutPaths(Random random);
  /// All engines crash when they turn too many requests away.
  net::awaitable<void> MakeBrittle(Random random);
  /// Most engines fail nearly all requests.
  net::awaitable<void> FailRequests(Random random);
  net::awaitable<void> StoreDown(Random random);
  /// One release replaces the other at all engines that run it.
  net::awaitable<void> CompleteRelease(Random random);
  /// All instances are killed at once, often when a release has just been completed.
  net::awaitable<void> Herd(Random random);
  /// All instances lose power at once and start again together.
  net::awaitable<void> Blackout(Random random);
  /// Waits until all are ready, or `limit` has passed; then fails unless other faults may be the
  /// reason.
  net::awaitable<void> AwaitReadiness(std::vector<StartedProcess> started,
                                      std::chrono::milliseconds limit, std::string promise);
  /// Fails unless a new connection to the callers' port gets any answer within `limit`, or other
  /// faults may be the reason.
  net::awaitable<void> AwaitAnswer(StartedProcess process, std::chrono::milliseconds limit);
  /// The status of the answer to a request on a new connection; 0 if there is none.
  static net::awaitable<unsigned> StatusAt(const Instance& instance, int port,
                                           std::chrono::milliseconds timeout);
  /// Whether the process has been told to end, or another runs in its place.
  static bool IsReplaced(const StartedProcess& process);
  /// Whether no kind is played that keeps instances from being ready.
  bool OnlyHarmless() const;
  net::awaitable<void> NameLimit(Random random);
  /// Some engines end and are back at their addresses under other ids; the old registrations lapse
  /// later.
  net::awaitable<void> Reboot(Random random);
  /// Other workspaces are isolated; for a while there may be none at all.
  net::awaitable<void> ChangeWorkspaces(Random random);
  /// An engine's process is killed; the next has its address and id.
  net::awaitable<void> KillServer(Random random);
  /// Engines become processes of the other release one after the other, at their addresses and ids;
  /// their registrations follow later.
  net::awaitable<void> ReplaceInPlace(Random random);
  net::awaitable<void> ChangeMood(EngineMood mood, Random random);

  /// Starts a release that has not been before at all engines that rest; returns it.
  std::string JoinNextRelease();
  net::awaitable<void> RetireAllBut(std::string release, std::chrono::milliseconds notice);
  /// An instance is stopped, or loses its peers and the store; callers and engines reach it.
  net::awaitable<void> HoldOutOfStep(Instance& instance, bool stopped,
                                     std::chrono::milliseconds length);
  /// Kills instances but one, or the engines of a release.
  net::awaitable<void> BreakStreams(const Instance& spared, std::string release, Random random);
  /// A release joins while an instance is out of step, and its streams break off.
  net::awaitable<void> OutOfStep(Random random);
  void SetMoodOf(const std::string& release, const EngineMood& mood);
  /// A release replaces another within a second; soon afterwards all instances are killed.
  net::awaitable<void> ReplaceReleaseAndKill(Random random);
  /// The store is away, or refuses writes.
  net::awaitable<void> HarmStore(bool writes_only, std::chrono::milliseconds length);
  /// All instances are killed and start again after `down`.
  net::awaitable<void> KillAll(std::chrono::milliseconds down);
  /// Registrations that cannot be read or used come and go.
  net::awaitable<void> WriteOddEntries(Random random);
  net::awaitable<void> KillInstance(Instance& instance, std::chrono::milliseconds down);

  /// Ends an instance's process in order and starts the next.
  net::awaitable<void> Restart(Instance& instance, std::chrono::milliseconds down);
  /// Sends SIGHUP as soon as the program can take it.
  net::awaitable<void> SendHangUp(Instance& instance);
  /// A series of SIGHUPs, also right after a start and at one with blocked signals.
  net::awaitable<void> HangUp(Random random);
  /// An instance starts while another socket holds one of its ports.
  net::awaitable<void> StartAtTakenPort(Random random);
  /// Connections that send nothing use up the descriptors of an instance.
  net::awaitable<void> FloodWithIdle(Random random);
  /// Clients and an engine send framing without end.
  net::awaitable<void> SendEndless(Random random);
  /// Instances are stopped for a while, in series that overlap, beside changes of the
  /// configuration.
  net::awaitable<void> Stall(Random random);
  /// Stops an instance's process after `begin`, and lets it go on after `length`.
  net::awaitable<void> HoldUp(Instance& instance, std::chrono::milliseconds begin,
                              std::chrono::milliseconds length);
  /// A configuration with many routes; then keys are taken away one by one, and the idle limit is
  /// raised and lowered.
  net::awaitable<void> ChangeConfigurations(Random random);

  /// An instance; often the one that orders weights now.
  Instance& PickInstance(Random& random);

  template <class List>
  auto& Pick(List& list, Random& random) {
    return *list[static_cast<std::size_t>(random.Between(0, static_cast<int>(list.size()) - 1))];
  }

  FaultTargets targets_;
  Random random_;
  std::set<FaultKind> kinds_;
  bool releasing_ = false;  ///< a release replaces another
  int releases_ = 0;        ///< that have joined
  bool flooding_ = false;   ///< with idle connections
  bool emptied_ = false;    ///< the list of workspaces is empty
  bool changing_ = false;   ///< configurations come in quick succession
  SurroundingCounts counts_;
};

}  // namespace ridgehold::soak
