// The load that one attempt adds to a backend server while it runs.

#pragma once

#include <optional>
#include <set>

#include "gateway/backend_directory.h"
#include "gateway/exchange_plan.h"

namespace ridgehold {

/// The update that tells other gateways about an attempt.
PlacementUpdate PlacementUpdateOf(const ExchangePlan& plan, const InboundRequest& request,
                                  const BackendChoice& choice);

/// Adds the attempt's load on construction and removes it on destruction.
class BackendLoad {
 public:
  /// `last_run`: the request may not run anywhere else after this attempt.
  BackendLoad(GatewayState& state, const ExchangePlan& plan, const InboundRequest& request,
              const BackendChoice& choice, bool last_run = false);
  ~BackendLoad();

  BackendLoad(const BackendLoad&) = delete;
  BackendLoad& operator=(const BackendLoad&) = delete;

  /// Records the first event, which ends the prefill.
  void OnFirstEvent(TimePoint now);
  /// Records that the request can no longer be resumed at another backend server.
  void MarkUnrepeatable();

 private:
  void EndPrefill();
  void CountDemand(const ExchangePlan& plan);

  GatewayState& state_;
  BackendPtr backend_;
  std::optional<RequestGroup> group_;  ///< see ExchangePlan::group
  double queued_tokens_ = 0;
  bool fetches_ = false;
  double unprefilled_tokens_ = 0;
  std::uint64_t memory_tokens_ = 0;
  std::optional<std::multiset<TimePoint>::iterator> waiting_entry_;
  bool unrepeatable_ = false;
  GroupDemand* demand_ = nullptr;  ///< null: the engines are not divided into groups
};

}  // namespace ridgehold
