#include "memory/memory_fit.h"

#include <algorithm>

namespace ridgehold {

RequestMemory RequestMemory::Of(const RequestSize& size) {
  const std::uint64_t tokens = std::uint64_t{size.prompt_tokens} + size.max_output_tokens;
  RequestMemory memory;
  memory.total = (tokens + kBlockTokens - 1) / kBlockTokens * kBlockTokens;
  memory.own = memory.total;
  if (size.shared_parts < 2) return memory;
  // Only full blocks are shared.
  const std::uint64_t common = std::min(size.first_part_tokens, size.prompt_tokens);
  memory.own -= common / kBlockTokens * kBlockTokens;
  return memory;
}

bool MemoryFit::Fits(std::uint64_t held, std::uint32_t running) const {
  if (running >= slots) return false;
  if (held == 0) return EverFits();
  const auto needed = static_cast<double>(held) + static_cast<double>(request.own);
  return needed <= kUsableFraction * static_cast<double>(capacity);
}

}  // namespace ridgehold
