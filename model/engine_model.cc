#include "model/engine_model.h"

#include <algorithm>
#include <utility>

namespace ridgehold::model {

std::vector<Beginning> EngineModel::Advance(TimePoint now) {
  std::vector<Beginning> begun;
  while (!waiting_.empty()) {
    const auto& [request, sent] = waiting_.front();
    const TimePoint from = std::max({busy_until_, sent, request.parts_there});
    const std::uint32_t held = cache_.Find(request.parts, Duration::zero(), from).tokens;
    std::uint32_t shared = 0;
    for (const SharedPart& part : request.parts) shared += part.tokens;
    const std::uint32_t shared_read = request.fetches ? 0 : shared - held;
    const double reading_ms = (shared_read + request.own_tokens) / figures_.tokens_per_ms;
    const TimePoint at = from + std::chrono::duration_cast<Clock::duration>(
                                    std::chrono::duration<double, std::milli>(reading_ms));
    if (at > now) break;
    cache_.Use(request.parts, request.own_tokens, figures_.cache_tokens, at);
    begun.push_back({request.number, at, shared_read});
    busy_until_ = at;
    waiting_.pop_front();
  }
  return begun;
}

}  // namespace ridgehold::model
