// The life of an entry instance's process: start, reload and shutdown.

#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <csignal>
#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/result.h"
#include "entry/descriptor_shares.h"
#include "entry/entry_instance.h"
#include "entry/process_signals.h"
#include "log/log.h"
#include "net/wait.h"
#include "task/spawn.h"

namespace ridgehold {

/// Settings and addresses of a process may appear only after it has started: the settings file may
/// be in the middle of being written, and the process before may still hold a port. The process
/// waits for them instead of ending.
template <Environment Env>
class EntryLifecycle {
 public:
  struct Options {
    EntryTuning tuning;
    std::map<std::string, std::string> effective_settings;  ///< values of `tuning`, by name
    std::uint16_t metrics_port = 0;                         ///< 0: no metrics
  };

  EntryLifecycle(net::io_context& io, Options options)
      : io_(io),
        options_(std::move(options)),
        signals_(io, [this](int signal) { OnSignal(signal); }),
        start_timer_(io),
        settings_timer_(io),
        metrics_timer_(io) {}

  /// Runs until the process is told to end. Fails with kInvalidSettings if it cannot start.
  Result<void> Run() {
    Spawn(io_.get_executor(), "start", Start(), [this] { FailToStart(); });
    for (bool running = true; running;) {
      try {
        io_.run();
        running = false;
      } catch (...) {
        // One handler failed; the work of all others goes on.
        LogException("event loop", std::current_exception());
      }
    }
    if (failure_) return Fail(*failure_);
    return {};
  }

 private:
  static constexpr std::chrono::milliseconds kStartRetryInterval{100};
  static constexpr std::chrono::seconds kStartLogInterval{5};
  /// The platform replaces a settings file in less.
  static constexpr std::chrono::seconds kSettingsPatience{3};
  // Polled, since the platform may change the file without sending a signal.
  static constexpr std::chrono::seconds kSettingsPollInterval{2};
  static constexpr std::chrono::seconds kMetricsRetryInterval{1};

  using Entry = EntryInstance<Env>;

  /// Tries to start until that succeeds, cannot succeed, or the process is told to end.
  net::awaitable<void> Start() {
    std::optional<TimePoint> invalid_since;
    std::optional<TimePoint> logged_at;
    while (!stopping_) {
      failure_ = TryStart();
      if (!failure_) co_return OnStarted();
      const TimePoint now = Clock::now();
      if (failure_->code != ResultCode::kInvalidSettings) {
        invalid_since.reset();
      } else if (now - invalid_since.value_or(now) >= kSettingsPatience) {
        break;
      } else {
        invalid_since = invalid_since.value_or(now);
      }
      if (!logged_at || now - *logged_at >= kStartLogInterval) {
        logged_at = now;
        Log(LogLevel::kWarn, "waiting to start", {{"detail", failure_->detail}});
      }
      co_await WaitFor(start_timer_, kStartRetryInterval);
    }
    if (stopping_) failure_.reset();
    io_.stop();
  }

  /// Without an end, a process that serves nothing would remain.
  void FailToStart() {
    failure_ = Failure{ResultCode::kInternal, "an exception was thrown while starting"};
    io_.stop();
  }

  std::optional<Failure> TryStart() {
    try {
      return CreateEntry();
    } catch (const std::exception& error) {
      // Memory or descriptors may be short for a moment.
      entry_.reset();
      return Failure{ResultCode::kInternal, error.what()};
    }
  }

  std::optional<Failure> CreateEntry() {
    return FailureOf([&]() -> Result<void> {
      // Before the file is read, so that no later change is missed.
      settings_file_.emplace();
      BOOST_LEAF_AUTO(settings, Env::ReadSettings());
      instance_address_ = settings.instance_address;
      const std::uint32_t stated_descriptors = settings.max_descriptors;
      settings.max_descriptors = RaiseDescriptorLimit(stated_descriptors);
      const LogFields fields = {{"daemon", settings.daemon.value()},
                                {"zone", settings.zone.value()},
                                {"callers", settings.caller_address},
                                {"store", settings.store_address},
                                {"max_descriptors", std::to_string(settings.max_descriptors)},
                                {"stated_descriptors", std::to_string(stated_descriptors)}};
      BOOST_LEAF_ASSIGN(entry_,
                        Entry::Create(io_.get_executor(), std::move(settings), options_.tuning));
      Log(LogLevel::kInfo, "starting", fields);
      return {};
    });
  }

  void OnStarted() {
    entry_->SetEffectiveSettings(options_.effective_settings);
    if (options_.metrics_port != 0) Spawn(io_.get_executor(), "metrics", OpenMetrics());
    WatchSettings();
    entry_->Start();
  }

  /// Callers are served without metrics while another process has their port.
  net::awaitable<void> OpenMetrics() {
    const std::string address = instance_address_ + ":" + std::to_string(options_.metrics_port);
    for (bool logged = false; !stopping_; logged = true) {
      const std::optional<Failure> failure =
          FailureOf([&] { return entry_->OpenMetrics(address); });
      if (!failure) co_return;
      if (!logged) Log(LogLevel::kWarn, "metrics not served", {{"detail", failure->detail}});
      co_await WaitFor(metrics_timer_, kMetricsRetryInterval);
    }
  }

  void OnSignal(int signal) {
    if (signal == SIGHUP) {
      // A process that has not started yet reads the settings anyway.
      if (entry_) Reload("SIGHUP");
      return;
    }
    stopping_ = true;
    start_timer_.cancel();
    metrics_timer_.cancel();
    if (entry_) entry_->BeginShutdown([this] { io_.stop(); });
  }

  /// Reloads the settings; invalid ones are logged and leave the current ones in effect.
  void Reload(const char* cause) {
    const std::optional<Failure> failure = FailureOf([&]() -> Result<void> {
      BOOST_LEAF_AUTO(settings, Env::ReadSettings());
      entry_->Apply(settings);
      return {};
    });
    reload_failed_ = failure.has_value();
    if (failure) {
      Log(LogLevel::kError, "reload failed", {{"cause", cause}, {"detail", failure->detail}});
    } else {
      Log(LogLevel::kInfo, "reloaded", {{"cause", cause}});
    }
  }

  /// Reloads the settings whenever their file changes. A file that cannot be read may be in the
  /// middle of being written, and is read again.
  void WatchSettings() {
    settings_timer_.expires_after(kSettingsPollInterval);
    settings_timer_.async_wait([this](const ErrorCode& error) {
      if (error) return;
      WatchSettings();
      if (settings_file_->PollForChange() || reload_failed_) Reload("file changed");
    });
  }

  net::io_context& io_;
  Options options_;
  ProcessSignals signals_;
  Timer start_timer_;
  Timer settings_timer_;
  Timer metrics_timer_;
  std::unique_ptr<Entry> entry_;
  std::optional<typename Env::SettingsWatcher> settings_file_;
  std::string instance_address_;
  std::optional<Failure> failure_;
  bool stopping_ = false;
  bool reload_failed_ = false;
};

}  // namespace ridgehold
