// Reloads a zone's engines to the configured weights, a few at a time; run by the zone's relay.

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

/// `Step` is meant to be called about once per second. It blocks on store calls, and makes none
/// while there is nothing to reload. Not thread-safe.
template <KvStore Store>
class WeightReloader {
 public:
  /// Sends an order with its fencing token. Returns whether the engine accepted it.
  using SendOrder = std::function<bool(const ReloadOrder& order, std::uint64_t fencing_token)>;

  WeightReloader(ReloadRole<Store> role, ReloadPlan plan, SendOrder send_order)
      : role_(std::move(role)), plan_(std::move(plan)), send_order_(std::move(send_order)) {}

  /// Sends the next due order, if any, and acquires, keeps or releases the place it needs.
  void Step(const Config& config, std::span<const BackendState> backends, TimePoint now) {
    const auto order = plan_.Next(config, backends, now);
    const bool reload_pending = !order && HasPendingReload(config, backends);
    if (!order && !reload_pending) return role_.Release();
    const bool held = role_.Held() ? role_.KeepAlive() : role_.Acquire();
    if (!held || !order) return;
    const auto fencing_token = role_.NextFencingToken();
    if (!fencing_token) return;
    // The place may have been lost while the token was fetched or the process was suspended.
    // The engine's own checks cover the time between this check and the arrival of the order.
    if (!role_.Held()) return;
    plan_.RecordOrder(order->engine, now);
    send_order_(*order, *fencing_token);
  }

 private:
  /// Whether any engine with automatic reload reports weights other than the configured ones.
  static bool HasPendingReload(const Config& config, std::span<const BackendState> backends) {
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
