// Lets a zone's relay bring engines to the configured weights, few at once.

#pragma once

#include <functional>
#include <memory>
#include <span>

#include "base/ids.h"
#include "config/config.h"
#include "kv/kv_store.h"
#include "reload/reload_plan.h"
#include "reload/reload_role.h"
#include "routing/backend_table.h"

namespace ridgehold {

/// Not thread-safe; Step is called every second or so and blocks for the
/// store's calls. Asks the store for nothing while there is nothing to do.
template <KvStore Store>
class WeightReloader {
 public:
  /// Sends an order with its fencing number; returns whether it was accepted.
  using SendOrder = std::function<bool(const ReloadOrder& order, std::uint64_t fencing_token)>;

  WeightReloader(ReloadRole<Store> role, ReloadPlan plan, SendOrder send_order)
      : role_(std::move(role)), plan_(std::move(plan)), send_order_(std::move(send_order)) {}

  void Step(const Config& config, std::span<const BackendState> backends, TimePoint now) {
    const auto order = plan_.Next(config, backends, now);
    const bool busy = !order && Pending(config, backends);
    if (!order && !busy) return role_.Release();
    const bool held = role_.Held() ? role_.KeepAlive() : role_.Acquire();
    if (!held || !order) return;
    const auto fencing_token = role_.NextFencingToken();
    if (!fencing_token) return;
    // The place may have been lost while the number was fetched, or while this
    // process was paused; the engine's own checks cover what is left.
    if (!role_.Held()) return;
    plan_.RecordOrder(order->engine, now);
    send_order_(*order, *fencing_token);
  }

 private:
  /// Whether some engine is still to report the weights it was ordered to load.
  static bool Pending(const Config& config, std::span<const BackendState> backends) {
    for (const BackendState& row : backends) {
      const auto model = config.models().find(row.server.model);
      if (!row.present || model == config.models().end() || !model->second.reloads) continue;
      if (!row.weights.value().empty() && row.weights != model->second.weights) return true;
    }
    return false;
  }

  ReloadRole<Store> role_;
  ReloadPlan plan_;
  SendOrder send_order_;
};

}  // namespace ridgehold
