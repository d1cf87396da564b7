#include "groups/request_group.h"

#include <chrono>

namespace ridgehold {

RequestGroup Classify(std::uint32_t prompt_tokens, double tokens_per_ms, Duration pause_objective) {
  const std::chrono::duration<double, std::milli> pause = pause_objective;
  const bool bulk = prompt_tokens > kBulkPauseFraction * pause.count() * tokens_per_ms;
  return bulk ? RequestGroup::kBulk : RequestGroup::kInteractive;
}

}  // namespace ridgehold
