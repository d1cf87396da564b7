// Structured logging, one event per line (log4cxx).

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace ridgehold {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarn, kError };

/// One named value of an event. Must not contain prompt text or API keys.
struct LogField {
  std::string name;
  std::string value;
};

using LogFields = std::vector<LogField>;

/// Where log lines are written.
enum class LogSink : std::uint8_t {
  kStandardError,         ///< written synchronously by the calling thread
  kQueuedStandardOutput,  ///< bounded queue; never blocks, drops and counts lines when full
};

/// Initializes the process-wide log. `level` is as for `SetLogLevel`; `layout` is `json` or
/// `plain`.
void StartLog(std::string_view level, std::string_view layout,
              LogSink sink = LogSink::kStandardError);

/// Flushes queued lines and stops the queue's thread. Returns false if that takes longer than
/// `limit`, as it does while nobody reads the output; the thread then still runs, and the process
/// has to end without waiting for it.
bool StopLog(std::chrono::milliseconds limit = std::chrono::seconds(1));

/// Sets the minimum level: `debug`, `info`, `warn` or `error`. Returns kInvalidCommand for any
/// other text.
Result<void> SetLogLevel(std::string_view level);

/// Logs one event: `Log(LogLevel::kInfo, "listening", {{"port", "8080"}});`
void Log(LogLevel level, std::string_view event, const LogFields& fields = {});

}  // namespace ridgehold
