// ridgehold-entry: the gateway process on an entry instance of the platform.

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <map>
#include <string>

#include "entry/tuning_options.h"
#include "log/log.h"
#include "net/timer.h"
#include "platform/environment.h"
#include "platform/instance_settings.h"

namespace ridgehold {
namespace {

using Entry = EntryInstance<platform::PlatformEnvironment>;

struct Options {
  EntryTuning tuning;
  std::map<std::string, std::string> effective_settings;  ///< values of `tuning`, by name
  std::uint16_t metrics_port = 0;
  std::string log_level = "info";
  bool check_settings = false;
};

// Polled, since the platform may change the file without sending a signal.
constexpr std::chrono::seconds kSettingsPollInterval{2};

/// Reloads the settings; invalid ones are logged and leave the current ones in effect.
void Reload(Entry& entry, const char* cause) {
  ValueOr(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(settings, platform::ReadSettings());
        entry.Apply(settings);
        Log(LogLevel::kInfo, "reloaded", {{"cause", cause}});
        return {};
      },
      [&](const Failure& failure) {
        Log(LogLevel::kError, "reload failed", {{"cause", cause}, {"detail", failure.detail}});
      });
}

/// Reloads the settings whenever their file changes.
void WatchSettings(Timer& timer, Entry& entry, platform::SettingsFileWatcher file) {
  timer.expires_after(kSettingsPollInterval);
  timer.async_wait([&timer, &entry, file](const ErrorCode& error) mutable {
    if (error) return;
    if (file.PollForChange()) Reload(entry, "file changed");
    WatchSettings(timer, entry, file);
  });
}

void WaitForSignals(net::signal_set& signals, net::io_context& io, Entry& entry) {
  signals.async_wait([&](const ErrorCode& error, int signal) {
    if (error) return;
    if (signal == SIGHUP) {
      Reload(entry, "SIGHUP");
    } else {
      entry.BeginShutdown([&io] { io.stop(); });
    }
    WaitForSignals(signals, io, entry);
  });
}

Result<void> Run(const Options& options) {
  BOOST_LEAF_AUTO(settings, platform::ReadSettings());
  if (options.check_settings) return {};
  net::io_context io(1);
  const std::string metrics_address =
      settings.instance_address + ":" + std::to_string(options.metrics_port);
  Log(LogLevel::kInfo, "starting",
      {{"daemon", settings.daemon.value()},
       {"zone", settings.zone.value()},
       {"callers", settings.caller_address},
       {"store", settings.store_address}});
  BOOST_LEAF_AUTO(entry, Entry::Create(io.get_executor(), std::move(settings), options.tuning));
  entry->SetEffectiveSettings(options.effective_settings);
  if (options.metrics_port != 0) BOOST_LEAF_CHECK(entry->OpenMetrics(metrics_address));
  net::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
  WaitForSignals(signals, io, *entry);
  Timer settings_timer(io);
  WatchSettings(settings_timer, *entry, platform::SettingsFileWatcher());
  entry->Start();
  io.run();
  return {};
}

}  // namespace
}  // namespace ridgehold

int main(int argc, char** argv) {
  ridgehold::Options options;
  std::string settings_path;
  CLI::App app("Runs the ridgehold gateway on an entry instance of the platform");
  app.add_option("--metrics-port", options.metrics_port,
                 "Port for /metrics and /state; 0: not served");
  app.add_option("--log-level", options.log_level, "debug, info, warn or error");
  app.add_flag("--check-settings", options.check_settings, "Check the settings and exit");
  app.add_option("--settings", settings_path,
                 "INI file with settings that do not come from the platform");
  auto tuning = ridgehold::TuningOptions::Create(app, options.tuning);
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  ridgehold::StartLog(options.log_level, "json", ridgehold::LogSink::kQueuedStandardOutput);
  const auto failure = ridgehold::FailureOf([&]() -> ridgehold::Result<void> {
    if (!settings_path.empty()) BOOST_LEAF_CHECK(tuning.ReadFile(settings_path));
    options.effective_settings = tuning.EffectiveValues();
    return ridgehold::Run(options);
  });
  if (failure) ridgehold::Log(ridgehold::LogLevel::kError, "ended", {{"detail", failure->detail}});
  ridgehold::StopLog();
  return failure ? 1 : 0;
}
