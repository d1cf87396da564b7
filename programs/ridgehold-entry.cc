// The daemon on an entry instance of the platform.

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <iostream>

#include "log/log.h"
#include "platform/environment.h"
#include "platform/instance_settings.h"

namespace ridgehold {
namespace {

using Entry = EntryInstance<platform::PlatformEnvironment>;

struct Options {
  EntryTuning tuning;
  std::uint16_t metrics_port = 0;
  std::string log_level = "info";
  bool check_settings = false;
};

// The platform may change the file without a signal.
constexpr std::chrono::seconds kSettingsLook{2};

/// Reads the settings again; faulty ones change nothing.
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

/// Reloads when the settings file has changed.
void WatchSettings(net::steady_timer& timer, Entry& entry, platform::SettingsFile file) {
  timer.expires_after(kSettingsLook);
  timer.async_wait([&timer, &entry, file](const ErrorCode& error) mutable {
    if (error) return;
    if (file.Changed()) Reload(entry, "file changed");
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
  if (options.metrics_port != 0) BOOST_LEAF_CHECK(entry->OpenMetrics(metrics_address));
  net::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
  WaitForSignals(signals, io, *entry);
  net::steady_timer settings_timer(io);
  WatchSettings(settings_timer, *entry, platform::SettingsFile());
  entry->Start();
  io.run();
  return {};
}

/// Turns single mechanisms off, to see what each is worth.
void AddSwitches(CLI::App& app, EntryTuning& tuning) {
  app.add_option("--admission.enabled", tuning.admission.enabled,
                 "requests for text wait here for room at an engine");
  app.add_option("--placement.observe-speed", tuning.placement.observe_speed,
                 "the speed of engines is taken from first events");
  app.add_option("--placement.engines-as-sources", tuning.placement.engines_as_sources,
                 "parts are fetched from engines, too, where there is a store");
  app.add_option("--placement.watch-links", tuning.placement.watch_links,
                 "fetches wait for those before them on the same link");
  app.add_option("--probing.enabled", tuning.probing.enabled,
                 "servers that may be out of reach are probed by connections");
  app.add_option("--rollout.spare-retries", tuning.spare_retries,
                 "runs are broken off for a load only if retries are left");
  app.add_option("--rollout.observe-loads", tuning.observe_loads,
                 "no more loads at once than were seen to help");
}

/// Settings of the product's own: `[placement]` and `[limits]` of the INI file.
void AddTuning(CLI::App& app, EntryTuning& tuning) {
  PlacementWeights& placement = tuning.placement;
  app.add_option("--placement.prefill-tokens-per-ms", placement.prefill_tokens_per_ms,
                 "Speed of an engine");
  app.add_option("--placement.per-running-request", placement.per_running_request,
                 "ms that a running request adds to the wait");
  app.add_option("--placement.other-zone", placement.other_zone, "ms to another zone");
  app.add_option("--placement.fetch-call", placement.fetch_call, "ms of a fetch of shared parts");
  app.add_option("--placement.fetch-token", placement.fetch_token,
                 "ms for each token fetched, with what it evicts");
  app.add_option("--placement.store-call", placement.store_call,
                 "ms of a fetch from the store of kept cache");
  app.add_option("--placement.store-token", placement.store_token,
                 "ms for each token fetched from the store");
  app.add_option("--placement.copy-token", placement.copy_token,
                 "ms for each token of a second copy, which evicts another");
  app.add_option("--placement.per-running-call", placement.per_running_call,
                 "ms that a running call adds at a plain service");
  app.add_option("--placement.failing", placement.failing,
                 "ms by which a server is worse whose answers all fail");
  app.add_option("--placement.older-weights", placement.older_weights,
                 "ms by which older weights are worse");
  app.add_option("--placement.doubtful-part", placement.doubtful_part,
                 "part of an engine's memory, its oldest, where cached parts may be evicted");
  app.add_option("--placement.older-weights-free-ms", tuning.older_weights_free_ms,
                 "ms after a naming in which older weights are as good");
  app.add_option("--limits.call-patience", tuning.call_patience,
                 "latency objectives until a call is tried elsewhere");
  app.add_option("--admission.full-part", tuning.admission.full_part,
                 "part of the shortest objective that an engine may have to read");
  app.add_option("--admission.late-part", tuning.admission.late_part,
                 "the same for requests that are late already");
  app.add_option("--admission.longest-wait", tuning.admission.longest_wait,
                 "latency objectives that a request waits for room");
  app.add_option("--limits.stream-patience", tuning.stream_patience,
                 "latency objectives until a stream is tried elsewhere");
  AddSwitches(app, tuning);
  app.add_option("--rollout.shortest-drain-ms", tuning.shortest_drain_ms,
                 "ms that an engine is emptied at least when all are busy");
  app.add_option("--rollout.engines-for-each-load", tuning.engines_for_each_load,
                 "one engine of so many loads weights at a time");
}

}  // namespace
}  // namespace ridgehold

int main(int argc, char** argv) {
  ridgehold::Options options;
  CLI::App app("The gateway of ridgehold on an entry instance of the platform");
  app.add_option("--metrics-port", options.metrics_port, "Serve /metrics and /state here");
  app.add_option("--log-level", options.log_level, "debug, info, warn or error");
  app.add_flag("--check-settings", options.check_settings, "Read the settings and end");
  app.set_config("--settings", "", "INI file with the settings of the product's own");
  ridgehold::AddTuning(app, options.tuning);
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  ridgehold::StartLog(options.log_level, "json", ridgehold::LogSink::kQueuedStandardOutput);
  const auto failure = ridgehold::FailureOf([&] { return ridgehold::Run(options); });
  if (failure) ridgehold::Log(ridgehold::LogLevel::kError, "ended", {{"detail", failure->detail}});
  ridgehold::StopLog();
  return failure ? 1 : 0;
}
