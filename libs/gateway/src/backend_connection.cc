#include "gateway/backend_connection.h"

#include <utility>

#include "gateway/gateway_state.h"

namespace ridgehold {
namespace {

net::awaitable<Checkout> AcquireDirectly(GatewayState& state, BackendPtr backend,
                                         TimePoint deadline) {
  Checkout checkout = co_await state.pool().Acquire(backend->entry.address, deadline);
  if (checkout.fresh && checkout.fault == ExchangeFault::kNone) {
    state.RecordContact();
    backend->continuity.RecordContact(checkout.connection->opened_at());
  }
  if (checkout.fault == ExchangeFault::kNotSent) state.RecordLoss(backend);
  if (checkout.refused) state.RecordRefusal(backend);
  co_return checkout;
}

}  // namespace

net::awaitable<BackendConnection> AcquireConnection(GatewayState& state, BackendPtr backend,
                                                    TimePoint deadline) {
  BackendConnection result;
  const bool isolated = state.IsIsolated(Clock::now());
  if (!state.has_peer_paths() || (backend->reachable && !isolated)) {
    result.checkout = co_await AcquireDirectly(state, backend, deadline);
    result.no_process = result.checkout.refused;
    co_return result;
  }
  // A partition may refuse new connections only.
  if (!isolated) result.checkout.connection = state.pool().AcquireIdle(backend->entry.address);
  if (result.checkout.connection) co_return result;
  PeerPath path = co_await state.OpenPeerPath(backend, deadline);
  if (path.connection) {
    result.checkout.connection = std::move(path.connection);
    result.checkout.fresh = true;
    result.via_peer = std::move(path.peer);
    co_return result;
  }
  result.no_process = path.result == TunnelResult::kRefused;
  // An unreachable server is probed several times per second, so another attempt is of no use.
  result.checkout.fault = ExchangeFault::kNotSent;
  if (!backend->reachable) co_return result;
  result.checkout = co_await AcquireDirectly(state, backend, deadline);
  co_return result;
}

void ReleaseConnection(GatewayState& state, const Backend& backend, const std::string& via_peer,
                       std::shared_ptr<OutboundConnection> connection) {
  if (via_peer.empty()) return state.pool().Release(backend.entry.address, std::move(connection));
  if (connection) connection->Close();
}

}  // namespace ridgehold
