#include "log/log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <atomic>
#include <future>
#include <nlohmann/json.hpp>
#include <system_error>
#include <thread>

namespace ridgehold {
namespace {

std::atomic<bool> json_layout{true};

// Capacity of the queue to standard output, in lines; log4cxx reports the number of dropped
// lines in a log line of its own. At 400 bytes per line this is 0.8 MB.
constexpr int kAsyncBufferLines = 2'048;

const log4cxx::LoggerPtr& ProcessLogger() {
  static const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("ridgehold");
  return logger;
}

log4cxx::LevelPtr ToLog4cxx(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarn:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      break;
  }
  return log4cxx::Level::getError();
}

std::string ToPlain(std::string_view event, const LogFields& fields) {
  std::string line(event);
  for (const LogField& field : fields) line += " " + field.name + "=" + field.value;
  return line;
}

std::string ToJson(const log4cxx::LevelPtr& level, std::string_view event,
                   const LogFields& fields) {
  nlohmann::ordered_json line;
  line["level"] = level->toString();
  line["event"] = event;
  for (const LogField& field : fields) line[field.name] = field.value;
  return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

log4cxx::AppenderPtr MakeAsyncAppender(const log4cxx::AppenderPtr& target) {
  const auto queue = std::make_shared<log4cxx::AsyncAppender>();
  queue->setBufferSize(kAsyncBufferLines);
  queue->setBlocking(false);
  queue->addAppender(target);
  return queue;
}

}  // namespace

void StartLog(std::string_view level, std::string_view layout, LogSink sink) {
  json_layout = layout == "json";
  // In the JSON layout the pattern writes the opening brace and the `time` member.
  const char* pattern = json_layout ? "{\"time\":\"%d{yyyy-MM-dd}T%d{HH:mm:ss.SSSZ}\",%m%n"
                                    : "%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %m%n";
  const auto layout_object = std::make_shared<log4cxx::PatternLayout>(pattern);
  const bool queued = sink == LogSink::kQueuedStandardOutput;
  const log4cxx::AppenderPtr console = std::make_shared<log4cxx::ConsoleAppender>(
      layout_object,
      queued ? log4cxx::ConsoleAppender::getSystemOut() : log4cxx::ConsoleAppender::getSystemErr());
  ProcessLogger()->removeAllAppenders();
  ProcessLogger()->addAppender(queued ? MakeAsyncAppender(console) : console);
  ProcessLogger()->setAdditivity(false);
  ValueOr([&]() -> Result<void> { return SetLogLevel(level); }, [](const Failure&) {});
}

bool StopLog(std::chrono::milliseconds limit) {
  auto stopped = std::make_shared<std::promise<void>>();
  const std::future<void> flushed = stopped->get_future();
  try {
    std::thread([stopped] {
      ProcessLogger()->removeAllAppenders();
      stopped->set_value();
    }).detach();
  } catch (const std::system_error&) {  // no thread can be started
    return false;
  }
  return flushed.wait_for(limit) == std::future_status::ready;
}

Result<void> SetLogLevel(std::string_view level) {
  if (level != "debug" && level != "info" && level != "warn" && level != "error") {
    return Fail(ResultCode::kInvalidCommand, "no such log level: " + std::string(level));
  }
  ProcessLogger()->setLevel(log4cxx::Level::toLevel(std::string(level)));
  return {};
}

void Log(LogLevel level, std::string_view event, const LogFields& fields) {
  const log4cxx::LevelPtr log_level = ToLog4cxx(level);
  if (!ProcessLogger()->isEnabledFor(log_level)) return;
  if (!json_layout) {
    ProcessLogger()->log(log_level, ToPlain(event, fields));
    return;
  }
  const std::string object = ToJson(log_level, event, fields);
  ProcessLogger()->log(log_level, object.substr(1));
}

}  // namespace ridgehold
