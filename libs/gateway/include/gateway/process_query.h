// Asks a backend server's address which process answers there.

#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

#include "gateway/backend_connection.h"
#include "gateway/backend_directory.h"
#include "gateway/gateway_state.h"
#include "gateway/wire_format.h"
#include "incarnation/answer_end.h"
#include "net/wait.h"

namespace ridgehold {

/// What a status query on a connection yielded.
struct QueryResult {
  ExchangeFault fault = ExchangeFault::kNone;
  std::optional<ProcessStatement> statement;  ///< nullopt: the response says nothing of the process
};

/// Sends a status query on `connection` and reads the response by `deadline`. Late responses to
/// requests are skipped.
template <WireFormat Wire>
net::awaitable<QueryResult> QueryProcess(std::shared_ptr<OutboundConnection> connection,
                                         BackendPtr backend, TimePoint deadline) {
  constexpr std::size_t kMaxStatusBytes = std::size_t{1} << 20;
  const auto may_hold = [](std::size_t bytes) { return bytes <= kMaxStatusBytes; };
  QueryResult result;
  connection->StartRequest(Wire::MakeStatusQuery(backend->entry.id, backend->entry.address));
  for (int skipped = 0; skipped <= OutboundConnection::kMaxStaleResponses; ++skipped) {
    result.fault = co_await connection->ReadHead(deadline);
    if (result.fault != ExchangeFault::kNone) co_return result;
    ResponseMessage response(connection->head());
    result.fault = co_await connection->ReadWholeBody(response.body(), may_hold, deadline);
    if (result.fault != ExchangeFault::kNone) co_return result;
    const bool answers_a_request =
        !Wire::ReadAnswerHead(connection->head()).request.value().empty();
    if (answers_a_request) continue;
    result.statement = Wire::ReadStatement(response);
    co_return result;
  }
  result.fault = ExchangeFault::kBroken;
  co_return result;
}

/// Makes sure that the server has been asked on `acquired` for the start of its process, if its
/// registration tells one; a new connection replaces one that the server closes meanwhile. A
/// connection belongs to one process, so the statement holds for all requests on it, however late
/// the registration of a new process is read. Sets kNotSent if the server does not respond.
template <WireFormat Wire>
net::awaitable<void> IdentifyServer(GatewayState& state, BackendPtr backend,
                                    BackendConnection& acquired, TimePoint deadline) {
  // Longer than a sound server may be silent.
  constexpr std::chrono::milliseconds kTimeout{1'200};
  constexpr int kMaxConnections = 3;
  Checkout& checkout = acquired.checkout;
  for (int asked = 0; asked < kMaxConnections; ++asked) {
    if (checkout.fault != ExchangeFault::kNone || backend->entry.started == StartStamp()) co_return;
    const std::shared_ptr<OutboundConnection> connection = checkout.connection;
    if (connection->server_start()) co_return;
    const TimePoint limit = std::min<TimePoint>(deadline, Clock::now() + kTimeout);
    const QueryResult result = co_await QueryProcess<Wire>(connection, backend, limit);
    if (result.fault == ExchangeFault::kNone) {
      const StartStamp started = result.statement.value_or(ProcessStatement()).started;
      connection->SetServerStart(started);
      if (started != StartStamp()) {
        BackendDirectory::RecordProcess(*backend, started, Clock::now());
      }
      if (connection->Reusable()) co_return;
    } else if (checkout.fresh || result.fault == ExchangeFault::kTimedOut) {
      break;
    }
    acquired = co_await AcquireConnection(state, backend, deadline);
  }
  checkout.connection = nullptr;
  checkout.fault = ExchangeFault::kNotSent;
}

/// The response whose end is in question.
struct EndedResponse {
  BackendPtr backend;
  StartStamp writer;  ///< start of the process that wrote it; 0 if not known
  TimePoint sent{};   ///< when its request was sent
};

/// Asks a server that refuses connections through a peer: a partition may refuse them, too.
template <WireFormat Wire>
net::awaitable<EndEvidence> QueryThroughPeer(GatewayState& state, BackendPtr backend,
                                             TimePoint deadline) {
  EndEvidence evidence;
  const PeerPath path = co_await state.OpenPeerPath(backend, deadline);
  evidence.refused = path.result == TunnelResult::kRefused || path.peers_asked == 0;
  if (!path.connection) co_return evidence;
  const QueryResult result = co_await QueryProcess<Wire>(path.connection, backend, deadline);
  evidence.responded = result.fault == ExchangeFault::kNone;
  evidence.statement = result.statement;
  path.connection->Close();
  co_return evidence;
}

/// Finds out whether the process that wrote a response, which ended with its connection, lives on.
/// Takes one round trip, and until `deadline` if the server can't be reached.
template <WireFormat Wire>
net::awaitable<EndVerdict> QueryEnd(GatewayState& state, EndedResponse response,
                                    TimePoint deadline) {
  constexpr std::chrono::milliseconds kQueryTimeout{700};
  std::chrono::milliseconds pause{50};
  Timer timer(state.executor());
  do {
    EndEvidence evidence;
    BackendConnection acquired = co_await AcquireConnection(state, response.backend, deadline);
    const std::shared_ptr<OutboundConnection> connection = acquired.checkout.connection;
    const TimePoint limit = std::min<TimePoint>(deadline, Clock::now() + kQueryTimeout);
    const bool older = connection && connection->opened_at() <= response.sent;
    if (connection) {
      const QueryResult result = co_await QueryProcess<Wire>(connection, response.backend, limit);
      evidence.responded = result.fault == ExchangeFault::kNone;
      evidence.on_older_connection = older;
      evidence.statement = result.statement;
      ReleaseConnection(state, *response.backend, acquired.via_peer, connection);
    } else if (acquired.checkout.refused && state.has_peer_paths()) {
      evidence = co_await QueryThroughPeer<Wire>(state, response.backend, limit);
    } else {
      evidence.refused = acquired.no_process;
    }
    evidence.writer = response.writer;
    const EndVerdict verdict = JudgeEnd(evidence);
    if (verdict != EndVerdict::kUndecided) co_return verdict;
    // A reused connection ends with its process; the next one may tell more.
    const bool reused = connection && !acquired.checkout.fresh;
    if (reused) continue;
    co_await WaitFor(timer, pause);
    pause *= 2;
  } while (Clock::now() < deadline);
  co_return EndVerdict::kUndecided;
}

}  // namespace ridgehold
