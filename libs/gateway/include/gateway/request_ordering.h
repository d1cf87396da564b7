// Applies priorities and fair shares (libs/priority) to the requests of a gateway.

#pragma once

#include <chrono>
#include <optional>

#include "gateway/exchange_plan.h"
#include "priority/load_limits.h"
#include "priority/urgency.h"
#include "priority/workspace_shares.h"

namespace ridgehold {

/// Never 0, which stands for no workspace.
WorkspaceHash WorkspaceHashOf(const WorkspaceId& workspace);
/// The hash of the plan's workspace; 0 if it has none.
WorkspaceHash WorkspaceHashOf(const ExchangePlan& plan);

/// The order of a request; nothing for plain calls and where GatewayState::OrdersRequests() is
/// false, where requests are admitted without regard to urgency and shares.
std::optional<RequestOrder> OrderOf(const GatewayState& state, const ExchangePlan& plan,
                                    TimePoint now);

/// Returns the retry delay if an arriving request is to be refused, because it would wait for
/// longer than its caller, or because it was refused before and has returned early.
std::optional<std::chrono::milliseconds> RefuseOnArrival(GatewayState& state,
                                                         const ExchangePlan& plan,
                                                         const InboundRequest& request,
                                                         RequestRecord& record, TimePoint now);

/// Records a request that enters the search for a backend server, or is refused instead. Requests
/// over their quota are not recorded: they need no capacity.
void RecordArrival(GatewayState& state, const ExchangePlan& plan, const InboundRequest& request,
                   TimePoint now);

/// Records that the request is sent to a backend server for the first time.
void RecordAdmission(GatewayState& state, const ExchangePlan& plan, const InboundRequest& request,
                     const RequestRecord& record, TimePoint now);

/// Whether the backend server belongs to the engine group for short prompts.
GroupMembership GroupMembershipOf(GatewayState& state, const Backend& backend);

/// The rules of admission control for the request.
Admission AdmissionFor(GatewayState& state, const ExchangePlan& plan);

/// Whether a generation request may be sent to the chosen engine now.
bool IsAdmitted(GatewayState& state, const ExchangePlan& plan, const BackendChoice& choice,
                TimePoint now);

}  // namespace ridgehold
