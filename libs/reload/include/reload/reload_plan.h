// Selects the next engine to reload.

#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <span>

#include "base/ids.h"
#include "config/config.h"
#include "routing/backend_table.h"

namespace ridgehold {

/// An order to load weights. The engine executes it only while it runs `from`. Engines that
/// check fencing tokens also reject it after they have seen a higher token.
struct ReloadOrder {
  BackendId engine;
  std::string url;
  WeightsVersion from;
  WeightsVersion to;
};

/// Selects engines to reload, one at a time. Its only state is the time of each order that was
/// sent. Not thread-safe.
class ReloadPlan {
 public:
  /// Minimum time between two orders to the same engine.
  static constexpr std::chrono::seconds kOrderRetryInterval{30};

  explicit ReloadPlan(ZoneId zone) : zone_(std::move(zone)) {}

  /// Returns an order for an engine in this zone whose model has automatic reload and whose
  /// reported weights differ from the configured ones. Returns nullopt if there is none, or if
  /// an engine was sent an order less than `kOrderRetryInterval` ago and does not yet report
  /// the configured weights.
  std::optional<ReloadOrder> Next(const Config& config, std::span<const BackendState> backends,
                                  TimePoint now);

  /// Records that an order was sent to `engine`, whether or not it succeeded.
  void RecordOrder(const BackendId& engine, TimePoint now) { last_order_times_[engine] = now; }

 private:
  ZoneId zone_;
  std::map<BackendId, TimePoint> last_order_times_;
};

}  // namespace ridgehold
