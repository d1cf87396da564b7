// Choosing a backend server in a large fleet: a few candidates are asked about first.

#pragma once

#include <optional>
#include <set>

#include "gateway/exchange_plan.h"
#include "gateway/shortlist.h"
#include "net/beast.h"

namespace ridgehold {

/// A choice, or nothing if no backend server can take the request.
struct PolledChoice {
  std::optional<BackendChoice> choice;
  PollRecord poll;
};

/// Like ChooseFor, among a shortlist. With 295 gateways before 240 engines nobody
/// can hear of every request in time; a question takes a round trip, and what it
/// tells is true. The arguments outlive the call.
net::awaitable<PolledChoice> PollAndChoose(GatewayState& state, const ExchangePlan& plan,
                                           const InboundRequest& request,
                                           const std::set<BackendId>& tried);

}  // namespace ridgehold
