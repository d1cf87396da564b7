#include "reload/reload_plan.h"

namespace ridgehold {

std::optional<ReloadOrder> ReloadPlan::Next(const Config& config,
                                            std::span<const BackendState> backends, TimePoint now) {
  std::optional<ReloadOrder> next;
  for (const BackendState& row : backends) {
    const BackendServer& server = row.server;
    const auto model = config.models().find(server.model);
    const bool ours = row.present && server.zone == zone_ && model != config.models().end();
    if (!ours || !model->second.reloads || row.weights.value().empty()) continue;
    const auto ordered = ordered_.find(server.id);
    const bool waiting = ordered != ordered_.end() && now - ordered->second < kOrderRetryInterval;
    if (row.weights == model->second.weights) {
      if (ordered != ordered_.end()) ordered_.erase(ordered);
      continue;
    }
    if (waiting) return std::nullopt;  // one at a time for each place
    if (!next) next = ReloadOrder{server.id, server.url, row.weights, model->second.weights};
  }
  return next;
}

}  // namespace ridgehold
