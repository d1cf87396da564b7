// Which engine should load other weights next.

#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <span>

#include "base/ids.h"
#include "config/config.h"
#include "routing/backend_table.h"

namespace ridgehold {

/// An order to load weights. The engine carries it out only while it still has
/// `from`; engines that check fencing numbers refuse it too once a newer order
/// was seen.
struct ReloadOrder {
  BackendId engine;
  std::string url;
  WeightsVersion from;
  WeightsVersion to;
};

/// Chooses the engines to reload, one after the other. Pure but for what it
/// remembers of its own orders; not thread-safe.
class ReloadPlan {
 public:
  /// An engine is not ordered again before this has passed.
  static constexpr std::chrono::seconds kOrderRetryInterval{30};

  explicit ReloadPlan(ZoneId zone) : zone_(std::move(zone)) {}

  /// Returns the next order for an engine of the own zone whose model is set
  /// to reload by itself and whose reported weights are others than
  /// configured; nothing while an ordered engine has not reported back.
  std::optional<ReloadOrder> Next(const Config& config, std::span<const BackendState> backends,
                                  TimePoint now);

  /// The order was sent, or failed.
  void RecordOrder(const BackendId& engine, TimePoint now) { ordered_[engine] = now; }

 private:
  ZoneId zone_;
  std::map<BackendId, TimePoint> ordered_;
};

}  // namespace ridgehold
