// ridgeholdd: the router daemon, configured by an INI file.

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

constexpr int kExitInvalidSettings = 2;
constexpr int kExitShutdownTimeout = 3;
constexpr std::chrono::milliseconds kPollInterval{20};

std::atomic<bool> stop_requested{false};

extern "C" void OnStopSignal(int /*signal*/) { stop_requested.store(true); }

/// Serves until SIGTERM or SIGINT, then drains. Returns the exit code.
int Serve(Daemon& daemon, const Settings& settings) {
  while (!stop_requested.load()) std::this_thread::sleep_for(kPollInterval);
  daemon.BeginShutdown();
  const auto deadline = ridgehold::Clock::now() + settings.lame_duck + settings.shutdown_limit;
  while (!daemon.Drained()) {
    if (ridgehold::Clock::now() >= deadline) {
      Log(LogLevel::kError, "shutdown timed out with requests still in flight");
      return kExitShutdownTimeout;
    }
    std::this_thread::sleep_for(kPollInterval);
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
  app.add_flag("--check-settings", check_only, "check the settings and exit");
  CLI11_PARSE(app, argc, argv);

  std::signal(SIGTERM, &OnStopSignal);
  std::signal(SIGINT, &OnStopSignal);
  std::signal(SIGPIPE, SIG_IGN);
  return ridgehold::ValueOr(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(settings, ridgehold::LoadSettings(path));
        if (check_only) {
          std::cout << path << ": settings are valid\n";
          return 0;
        }
        ridgehold::StartLog(settings.log_level, settings.log_layout);
        BOOST_LEAF_AUTO(daemon, Daemon::Create(settings));
        return Serve(*daemon, settings);
      },
      [](const Failure& failure) {
        std::cerr << failure.detail << "\n";
        return kExitInvalidSettings;
      });
}
