// Plays seeded runs of real processes under faults and judges what callers and
// engines see.

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>

#include "soak_run.h"

namespace ridgehold::soak {
namespace {

struct Options {
  std::uint64_t seed = 1;
  int seeds = 1;
  std::size_t jobs = 1;
  int seconds = 8;
  int instances = 0;
  bool calm = false;
  std::string program = "build/soak/suspendable-entry";
  std::string keep = "build/soak-logs";
  std::string regressions;
  std::vector<std::string> faults;
};

/// The seeds of a file with lines `SEED CAUSE`; lines with # are comments.
std::vector<std::uint64_t> ReadRegressions(const std::string& path) {
  std::vector<std::uint64_t> seeds;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    if (!line.empty() && line.front() != '#') seeds.push_back(std::stoull(line));
  }
  return seeds;
}

std::vector<std::uint64_t> SeedsToPlay(const Options& options) {
  std::vector<std::uint64_t> seeds = ReadRegressions(options.regressions);
  for (int i = 0; i < options.seeds; ++i) {
    seeds.push_back(options.seed + static_cast<std::uint64_t>(i));
  }
  std::ranges::sort(seeds);
  seeds.erase(std::unique(seeds.begin(), seeds.end()), seeds.end());
  return seeds;
}

std::set<FaultKind> KindsOf(const std::vector<std::string>& names) {
  std::set<FaultKind> kinds;
  for (const auto& [name, kind] : FaultScript::Names()) {
    if (std::ranges::find(names, name) != names.end()) kinds.insert(kind);
  }
  return kinds;
}

/// Plays one seed; its files stay only when it fails.
bool PlaySeed(const Options& options, std::uint64_t seed) {
  const std::filesystem::path folder =
      std::filesystem::absolute(options.keep) / ("seed-" + std::to_string(seed));
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  bool kept = false;
  {
    SoakRun run({.seed = seed,
                 .length = std::chrono::seconds(options.seconds),
                 .instances = options.instances,
                 .program = std::filesystem::absolute(options.program),
                 .folder = folder,
                 .faults = KindsOf(options.faults),
                 .calm = options.calm});
    kept = run.Play();
    std::cout << run.Summary() << std::flush;
  }
  if (kept) std::filesystem::remove_all(folder);
  return kept;
}

CLI::Validator FaultName() {
  std::vector<std::string> names;
  for (const auto& [name, kind] : FaultScript::Names()) names.push_back(name);
  return CLI::IsMember(names);
}

/// Plays one seed in a process of its own, which ends with this one.
pid_t StartSeed(const Options& options, std::uint64_t seed) {
  const pid_t child = ::fork();
  if (child < 0) throw std::runtime_error("fork failed");
  if (child > 0) return child;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::_exit(PlaySeed(options, seed) ? 0 : 1);
}

/// Waits for a seed to end; returns it if it failed.
std::optional<std::uint64_t> WaitForSeed(std::map<pid_t, std::uint64_t>& playing) {
  int status = 0;
  const pid_t ended = ::wait(&status);
  if (ended < 0) throw std::runtime_error("no seed is being played");
  const std::uint64_t seed = playing.at(ended);
  playing.erase(ended);
  if (WIFEXITED(status) && WEXITSTATUS(status) == 0) return std::nullopt;
  return seed;
}

int PlayAll(const Options& options) {
  const std::vector<std::uint64_t> seeds = SeedsToPlay(options);
  std::map<pid_t, std::uint64_t> playing;
  std::vector<std::uint64_t> failed;
  for (auto next = seeds.begin(); next != seeds.end() || !playing.empty();) {
    if (next != seeds.end() && playing.size() < options.jobs) {
      playing[StartSeed(options, *next)] = *next;
      ++next;
      continue;
    }
    if (const auto seed = WaitForSeed(playing)) failed.push_back(*seed);
  }
  std::cout << seeds.size() << " seeds, " << failed.size() << " failed";
  for (const std::uint64_t seed : failed) std::cout << " " << seed;
  std::cout << std::endl;
  return failed.empty() ? 0 : 1;
}

}  // namespace
}  // namespace ridgehold::soak

int main(int argc, char** argv) {
  ridgehold::soak::Options options;
  CLI::App app("Plays seeded runs of entry instances under faults");
  app.add_option("--seed", options.seed, "The first seed");
  app.add_option("--seeds", options.seeds, "How many seeds to play");
  app.add_option("--jobs", options.jobs, "Seeds played at the same time")
      ->check(CLI::PositiveNumber);
  app.add_option("--seconds", options.seconds, "Length of a run")->check(CLI::PositiveNumber);
  app.add_option("--instances", options.instances, "Instances; three to five are drawn if absent");
  app.add_option("--program", options.program, "The instances' program");
  app.add_option("--keep", options.keep, "Folder for the logs of seeds that fail");
  app.add_option("--regressions", options.regressions, "File with more seeds to play first");
  app.add_option("--faults", options.faults, "Only these kinds; drawn by the seed if absent")
      ->delimiter(',')
      ->check(ridgehold::soak::FaultName());
  app.add_flag("--calm", options.calm, "No faults and no changes");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  return ridgehold::soak::PlayAll(options);
}
