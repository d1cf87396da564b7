// Chooses a backend server in a large fleet by polling a few candidates for their load.

#pragma once

#include <optional>
#include <set>

#include "gateway/exchange_plan.h"
#include "gateway/shortlist.h"
#include "net/beast.h"

namespace ridgehold {

/// The chosen backend server, or nothing if none can take the request, and the cost of polling.
struct PolledChoice {
  std::optional<BackendChoice> choice;
  PollRecord poll;
};

/// Like ChooseFor, among a shortlist whose load is queried first. With 295 gateways in front of 240
/// engines, gossip cannot reach every gateway in time to describe each request; a query costs one
/// round trip and returns current load. The referenced arguments must outlive the call.
net::awaitable<PolledChoice> PollAndChoose(GatewayState& state, const ExchangePlan& plan,
                                           const InboundRequest& request,
                                           const std::set<BackendId>& tried);

}  // namespace ridgehold
