// Stand-in of a plain service as a program.

#include <CLI/CLI.hpp>
#include <cstdint>

#include "plain_service.h"
#include "wait_for_signal.h"

int main(int argc, char** argv) {
  std::uint16_t port = 0;
  std::int64_t delay_ms = 0;
  CLI::App app("plain-service-standin: counts and answers calls");
  app.add_option("--port", port)->required();
  app.add_option("--delay-ms", delay_ms, "time each call takes");
  CLI11_PARSE(app, argc, argv);
  return ridgehold::standin::RunUntilSignal([&] {
    return ridgehold::standin::PlainService::Create("127.0.0.1", port,
                                                    std::chrono::milliseconds(delay_ms));
  });
}
