// Stand-in of the platform as a program.

#include <CLI/CLI.hpp>
#include <cstdint>

#include "platform.h"
#include "wait_for_signal.h"

int main(int argc, char** argv) {
  std::uint16_t port = 0;
  CLI::App app("platform-standin: key-value service and instance list");
  app.add_option("--port", port)->required();
  CLI11_PARSE(app, argc, argv);
  return ridgehold::standin::RunUntilSignal(
      [&] { return ridgehold::standin::Platform::Create("127.0.0.1", port); });
}
