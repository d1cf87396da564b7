// Structured logs, one event a line (log4cxx).

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace ridgehold {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarn, kError };

/// One named value of an event. Never prompt text, never keys.
struct LogField {
  std::string name;
  std::string value;
};

using LogFields = std::vector<LogField>;

/// Where lines go.
enum class LogSink : std::uint8_t {
  kStandardError,         ///< written by the caller's thread
  kQueuedStandardOutput,  ///< through a bounded queue; never blocks, drops and counts when full
};

/// Sets up the process's log: layout `json` or `plain`.
void StartLog(std::string_view level, std::string_view layout,
              LogSink sink = LogSink::kStandardError);

/// Writes what is still queued and ends the queue's thread.
void StopLog();

/// Changes the level while running: debug, info, warn or error.
Result<void> SetLogLevel(std::string_view level);

/// Writes one event: `Log(LogLevel::kInfo, "listening", {{"port", "8080"}});`
void Log(LogLevel level, std::string_view event, const LogFields& fields = {});

}  // namespace ridgehold
