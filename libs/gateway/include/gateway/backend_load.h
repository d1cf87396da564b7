// What one attempt adds to a backend server's load, for as long as it lives.

#pragma once

#include <optional>
#include <set>

#include "gateway/backend_directory.h"
#include "gateway/exchange_plan.h"

namespace ridgehold {

/// What other gateways are told of an attempt.
PlacementUpdate PlacementUpdateOf(const ExchangePlan& plan, const InboundRequest& request,
                                  const BackendChoice& choice);

/// Counts on construction, and counts back on destruction.
class BackendLoad {
 public:
  /// `last_run`: the request may run nowhere else after this.
  BackendLoad(GatewayState& state, const ExchangePlan& plan, const InboundRequest& request,
              const BackendChoice& choice, bool last_run = false);
  ~BackendLoad();

  BackendLoad(const BackendLoad&) = delete;
  BackendLoad& operator=(const BackendLoad&) = delete;

  /// The prompt has been read: the first event is there.
  void OnFirstEvent(TimePoint now);

 private:
  void EndPrefill();

  GatewayState& state_;
  BackendPtr backend_;
  double queued_tokens_ = 0;
  bool fetches_ = false;
  double unprefilled_tokens_ = 0;
  std::optional<std::multiset<TimePoint>::iterator> waiting_entry_;
  bool unrepeatable_ = false;
};

}  // namespace ridgehold
