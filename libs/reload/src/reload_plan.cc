#include "reload/reload_plan.h"

namespace ridgehold {

std::optional<ReloadOrder> ReloadPlan::Next(const Config& config,
                                            std::span<const BackendState> backends, TimePoint now) {
  std::optional<ReloadOrder> next;
  for (const BackendState& row : backends) {
    const BackendServer& server = row.server;
    const auto model = config.models().find(server.model);
    const bool eligible = row.present && server.zone == zone_ && model != config.models().end();
    if (!eligible || !model->second.reloads || row.weights.value().empty()) continue;
    const auto last_order = last_order_times_.find(server.id);
    const bool order_pending =
        last_order != last_order_times_.end() && now - last_order->second < kOrderRetryInterval;
    if (row.weights == model->second.weights) {
      if (last_order != last_order_times_.end()) last_order_times_.erase(last_order);
      continue;
    }
    if (order_pending) return std::nullopt;  // each holder reloads one engine at a time
    if (!next) next = ReloadOrder{server.id, server.url, row.weights, model->second.weights};
  }
  return next;
}

}  // namespace ridgehold
