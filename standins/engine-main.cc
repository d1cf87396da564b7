// Stand-in of a model engine as a program.

#include <CLI/CLI.hpp>
#include <cstdint>

#include "engine.h"
#include "wait_for_signal.h"

int main(int argc, char** argv) {
  ridgehold::standin::EngineOptions options;
  std::int64_t decode_us = options.decode_step.count();
  std::int64_t event_delay_ms = options.event_delay.count();
  std::int64_t load_lag_ms = options.load_lag.count();
  CLI::App app("engine-standin: a model engine whose work costs only time");
  app.add_option("--port", options.port)->required();
  app.add_option("--weights", options.weights);
  app.add_option("--prefill-speed", options.prefill_tokens_per_s, "tokens a second");
  app.add_option("--decode-us", decode_us, "microseconds a token");
  app.add_option("--blocks", options.cache_blocks, "cache size in blocks");
  app.add_option("--event-delay-ms", event_delay_ms);
  app.add_option("--event-loss", options.event_loss, "share from 0 to 1");
  app.add_option("--load-lag-ms", load_lag_ms);
  CLI11_PARSE(app, argc, argv);
  options.decode_step = std::chrono::microseconds(decode_us);
  options.event_delay = std::chrono::milliseconds(event_delay_ms);
  options.load_lag = std::chrono::milliseconds(load_lag_ms);
  return ridgehold::standin::RunUntilSignal(
      [&] { return ridgehold::standin::Engine::Create(options); });
}
