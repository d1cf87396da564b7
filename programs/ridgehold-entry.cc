// ridgehold-entry: the gateway process on an entry instance of the platform.

#include <malloc.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdlib>

#include "entry/entry_lifecycle.h"
#include "entry/process_signals.h"
#include "entry/tuning_options.h"
#include "log/log.h"
#include "platform/environment.h"
#include "platform/instance_settings.h"

namespace ridgehold {
namespace {

using Lifecycle = EntryLifecycle<platform::PlatformEnvironment>;

struct Options {
  Lifecycle::Options lifecycle;
  std::string log_level = "info";
  bool check_settings = false;
};

Result<void> Run(const Options& options) {
  if (options.check_settings) {
    BOOST_LEAF_CHECK(platform::ReadSettings());
    return {};
  }
  net::io_context io(1);
  Lifecycle lifecycle(io, options.lifecycle);
  return lifecycle.Run();
}

/// Returns the memory of large buffers to the system as soon as they are freed. By default the
/// allocator soon keeps buffers of up to 32 MiB for reuse, so that more memory than the limits on
/// bodies allow stays resident.
void ReleaseLargeBuffers() {
  constexpr int kLargeBufferBytes = 512 << 10;
  constexpr int kMaxUnusedHeapBytes = 4 << 20;
  ::mallopt(M_MMAP_THRESHOLD, kLargeBufferBytes);
  ::mallopt(M_TRIM_THRESHOLD, kMaxUnusedHeapBytes);
}

}  // namespace
}  // namespace ridgehold

int main(int argc, char** argv) {
  // A signal before the handlers are installed would end the process.
  ridgehold::ProcessSignals::Block();
  ridgehold::ReleaseLargeBuffers();
  ridgehold::Options options;
  std::string settings_path;
  CLI::App app("Runs the ridgehold gateway on an entry instance of the platform");
  app.add_option("--metrics-port", options.lifecycle.metrics_port,
                 "Port for /metrics and /state; 0: not served");
  app.add_option("--log-level", options.log_level, "debug, info, warn or error");
  app.add_flag("--check-settings", options.check_settings, "Check the settings and exit");
  app.add_option("--settings", settings_path,
                 "INI file with settings that do not come from the platform");
  auto tuning = ridgehold::TuningOptions::Create(app, options.lifecycle.tuning);
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  ridgehold::StartLog(options.log_level, "json", ridgehold::LogSink::kQueuedStandardOutput);
  const auto failure = ridgehold::FailureOf([&]() -> ridgehold::Result<void> {
    if (!settings_path.empty()) BOOST_LEAF_CHECK(tuning.ReadFile(settings_path));
    options.lifecycle.effective_settings = tuning.EffectiveValues();
    return ridgehold::Run(options);
  });
  if (failure) ridgehold::Log(ridgehold::LogLevel::kError, "ended", {{"detail", failure->detail}});
  const int status = failure ? EXIT_FAILURE : EXIT_SUCCESS;
  // Destructors would wait for a log that cannot be written.
  constexpr std::chrono::milliseconds kLogFlushLimit{200};
  if (!ridgehold::StopLog(kLogFlushLimit)) std::_Exit(status);
  return status;
}
