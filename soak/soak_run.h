// One seed: a deployment of real processes, callers, and faults.

#pragma once

#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <memory>
#include <set>
#include <vector>

#include "caller.h"
#include "fault_script.h"
#include "kept_caller.h"
#include "odd_caller.h"
#include "pipelined_caller.h"

namespace ridgehold::soak {

struct SoakOptions {
  std::uint64_t seed = 1;
  std::chrono::seconds length{8};
  int instances = 0;  ///< 0: three to five, drawn
  std::filesystem::path program;
  std::filesystem::path folder;  ///< for settings and logs
  std::set<FaultKind> faults;    ///< none: drawn
  bool calm = false;             ///< no faults at all
};

/// Owns all parts of a run; everything of the soak's own is on one thread.
class SoakRun {
 public:
  explicit SoakRun(SoakOptions options);

  /// Plays the run and returns whether all promises were kept.
  bool Play();
  /// What to print of it.
  std::string Summary();

 private:
  /// Starts with engines of two releases.
  void AddReleases();
  /// As many engines again, which rest until their release joins.
  void AddRestingEngines();
  void AddEngine(Random random);
  /// Lets callers take up broken streams.
  void EnableResumptions(std::set<FaultKind> judged, int tries);
  /// A store of many pages behind a slow link.
  void FillStore();
  void StartInstances();
  /// Gives an instance ways of its own to the engines.
  void AddPaths(Instance& instance, const std::string& egress);
  Surroundings SurroundingsOfAll() const;
  void StartCallers();
  void StartPipelinedCallers();
  void StartKeptCallers();
  void StartOddCallers();
  /// Fails if a kind that must not cost service did.
  void JudgeServed();
  std::string SurroundingText() const;
  net::awaitable<void> Script();
  net::awaitable<void> StopAll();
  net::awaitable<void> WatchProcesses();

  SoakOptions options_;
  TimePoint started_ = Clock::now();
  Random random_;
  boost::asio::io_context io_;
  Verdict verdict_;
  Calm calm_;
  platform::test::FakeStore store_;
  std::shared_ptr<SharedLink> store_link_;  ///< nullptr: no limit
  OperatorLog operator_;
  Ledger ledger_;
  OrderCheck orders_;
  Poison poison_;
  PathCheck path_check_;
  RetryCheck retry_check_;
  KeptCheck kept_check_;
  WallCheck wall_check_;
  PeerNetwork peers_;
  Resumptions resumptions_;
  Needs needs_;
  std::vector<std::unique_ptr<SoakEngine>> engines_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<std::shared_ptr<Caller>> callers_;
  std::vector<std::shared_ptr<PipelinedCaller>> pipelined_callers_;
  std::vector<std::shared_ptr<KeptCaller>> kept_callers_;
  std::vector<std::shared_ptr<OddCaller>> odd_callers_;
  FaultScript faults_;
};

}  // namespace ridgehold::soak
