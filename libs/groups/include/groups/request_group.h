// Divides generation requests into those that disturb other streams on an engine and the others.

#pragma once

#include <cstdint>

#include "base/ids.h"

namespace ridgehold {

/// How a request shares an engine with others.
enum class RequestGroup : std::uint8_t {
  kInteractive,  ///< a short prompt
  kBulk,         ///< a prompt whose prefill makes other streams on the engine pause
};

/// A prompt is bulk if its prefill takes more than this fraction of the pause objective: five such
/// prompts in a row take all of it.
inline constexpr double kBulkPauseFraction = 0.2;

/// Classifies a request by its whole prompt, cached or not, because gateways differ in what they
/// know of caches. `tokens_per_ms` is the prefill rate of the service's engines; `pause_objective`
/// the shortest one of the service's routes.
RequestGroup Classify(std::uint32_t prompt_tokens, double tokens_per_ms, Duration pause_objective);

}  // namespace ridgehold
