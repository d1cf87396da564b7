// Whether the KV cache of a request fits into an engine's memory beside those of running requests.

#pragma once

#include <cstdint>

namespace ridgehold {

/// What determines the memory that a request takes.
struct RequestSize {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::uint32_t shared_parts = 0;       ///< parts of the prompt that other requests may share
  std::uint32_t first_part_tokens = 0;  ///< tokens of the first of them
};

/// Memory that a request holds until it ends, in tokens of KV cache. Engines allocate whole blocks.
struct RequestMemory {
  /// Tokens in one block of an engine's memory.
  static constexpr std::uint64_t kBlockTokens = 16;

  std::uint64_t total = 0;  ///< for the prompt and the longest output
  /// `total` without the first shared part if the prompt has several: many prompts begin with that
  /// part, and the engine holds it once.
  std::uint64_t own = 0;

  static RequestMemory Of(const RequestSize& size);
};

/// Long prompts beside short streams exhaust an engine's memory before its slots: the engine then
/// preempts running requests, whose streams pause until they are prefilled again (249 requests
/// under the heaviest load of 112 engines with memory for 71,780 tokens each). Stateless.
struct MemoryFit {
  /// Usable fraction of an engine's memory. The rest is for the first shared parts, which are
  /// counted for no request, and for requests that two gateways place at the same moment.
  static constexpr double kUsableFraction = 0.9;

  RequestMemory request;
  std::uint32_t slots = 1;     ///< requests that an engine runs at a time
  std::uint64_t capacity = 0;  ///< an engine's memory, in tokens

  /// Whether an engine can run the request at all.
  bool EverFits() const { return request.total <= capacity; }

  /// Whether the request fits into an engine whose `running` requests hold `held` tokens. An engine
  /// that holds nothing has room for any request that it can run, even if that takes more than the
  /// usable fraction.
  bool Fits(std::uint64_t held, std::uint32_t running) const;
};

}  // namespace ridgehold
