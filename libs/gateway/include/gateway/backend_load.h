// What one attempt adds to a backend server's load, for as long as it lives.

#pragma once

#include "gateway/backend_directory.h"
#include "gateway/exchange_plan.h"

namespace ridgehold {

/// Counts on construction, and counts back on destruction.
class BackendLoad {
 public:
  BackendLoad(GatewayState& state, const ExchangePlan& plan, const InboundRequest& request,
              const BackendChoice& choice);
  ~BackendLoad();

  BackendLoad(const BackendLoad&) = delete;
  BackendLoad& operator=(const BackendLoad&) = delete;

  /// The prompt has been read: the first event is there.
  void EndReading();

 private:
  BackendPtr backend_;
  double unread_tokens_ = 0;
  bool unrepeatable_ = false;
};

}  // namespace ridgehold
