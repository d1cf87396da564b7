// ridgeholdd: the daemon on an entry instance.

#include <CLI/CLI.hpp>
#include <atomic>
#include <chrono>
#include <csignal>
#include <iostream>
#include <thread>

#include "base/clock.h"
#include "daemon/daemon.h"
#include "log/log.h"
#include "settings/settings.h"

namespace {

using ridgehold::Daemon;
using ridgehold::Failure;
using ridgehold::Log;
using ridgehold::LogLevel;
using ridgehold::Result;
using ridgehold::Settings;

constexpr int kExitBadSettings = 2;
constexpr int kExitCutOff = 3;
constexpr std::chrono::milliseconds kSignalPoll{20};

std::atomic<bool> stop_requested{false};

extern "C" void OnStopSignal(int /*signal*/) { stop_requested.store(true); }

/// Serves until a signal comes, then drains. Returns the exit code.
int Serve(Daemon& daemon, const Settings& settings) {
  while (!stop_requested.load()) std::this_thread::sleep_for(kSignalPoll);
  daemon.BeginShutdown();
  const auto limit = ridgehold::Clock::now() + settings.lame_duck + settings.shutdown_limit;
  while (!daemon.Drained()) {
    if (ridgehold::Clock::now() >= limit) {
      Log(LogLevel::kError, "shutdown limit reached with requests in flight");
      return kExitCutOff;
    }
    std::this_thread::sleep_for(kSignalPoll);
  }
  Log(LogLevel::kInfo, "stopped");
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("ridgeholdd routes language-model traffic to backend servers");
  std::string path;
  bool check_only = false;
  app.add_option("settings", path, "settings file (INI)")->required();
  app.add_flag("--check-settings", check_only, "only check the settings");
  CLI11_PARSE(app, argc, argv);

  std::signal(SIGTERM, &OnStopSignal);
  std::signal(SIGINT, &OnStopSignal);
  std::signal(SIGPIPE, SIG_IGN);
  return ridgehold::ValueOr(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(settings, ridgehold::LoadSettings(path));
        if (check_only) {
          std::cout << path << ": settings are fine\n";
          return 0;
        }
        ridgehold::StartLog(settings.log_level, settings.log_layout);
        BOOST_LEAF_AUTO(daemon, Daemon::Create(settings));
        return Serve(*daemon, settings);
      },
      [](const Failure& failure) {
        std::cerr << failure.detail << "\n";
        return kExitBadSettings;
      });
}
