// Stand-in of a model engine: prefill and decode cost time, blocks are cached and evicted.

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "base/result.h"

namespace ridgehold::standin {

struct EngineOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::string weights = "w1";
  double prefill_tokens_per_s = 8'000;
  std::chrono::microseconds prefill_overhead{4'000};
  std::chrono::microseconds decode_step{10'000};
  double decode_slowdown = 0.02;  ///< longer step for each further running stream
  std::size_t cache_blocks = 2'000;
  std::chrono::milliseconds event_delay{50};
  double event_loss = 0;  ///< share of events that are never published
  std::chrono::milliseconds load_lag{100};
  bool checks_fencing = true;
};

/// What the engine did, for measurements.
struct EngineCounts {
  std::uint64_t requests = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::uint64_t cancelled = 0;
};

class Engine {
 public:
  static Result<std::unique_ptr<Engine>> Create(const EngineOptions& options);
  ~Engine();

  std::uint16_t port() const;
  std::string url() const;
  std::string incarnation() const;
  std::string weights() const;
  EngineCounts counts() const;

  void SetLeaving(bool leaving);
  void SetFrozen(bool frozen);
  void SetWeights(const std::string& weights);

  /// As after a crash: empty cache and a new incarnation on the same address.
  /// Streams that run end without a final event.
  void Crash();

 private:
  struct Impl;
  explicit Engine(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

/// The token that an engine answers at `offset` of the answer to `prompt`.
std::string AnswerToken(const std::string& prompt, std::size_t offset);

}  // namespace ridgehold::standin
