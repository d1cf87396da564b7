// Asks a backend server's address which process answers there.

#pragma once

#include <algorithm>
#include <chrono>
#include <string>
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
  ProcessStatement statement;
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
  for (int late = 0; late <= OutboundConnection::kMaxStaleResponses; ++late) {
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

/// Makes sure that the server has been asked on `acquired` for the start of its process; another
/// connection replaces one that cannot be used any more. A connection is of one process, so what it
/// tells holds for all requests on it, whatever the registration says and however late it comes.
/// Sets kNotSent if the server does not respond by `deadline`.
template <WireFormat Wire>
net::awaitable<void> IdentifyServer(GatewayState& state, BackendPtr backend,
                                    BackendConnection& acquired, TimePoint deadline) {
  // Longer than a round trip with a lost packet; a server that is silent for longer can't answer
  // the request in time either.
  constexpr std::chrono::milliseconds kTimeout{500};
  for (;;) {
    Checkout& checkout = acquired.checkout;
    if (checkout.fault != ExchangeFault::kNone || checkout.connection->server_start()) co_return;
    const bool fresh = checkout.fresh;
    const std::shared_ptr<OutboundConnection> connection = checkout.connection;
    const TimePoint limit = std::min<TimePoint>(deadline, Clock::now() + kTimeout);
    const QueryResult result = co_await QueryProcess<Wire>(connection, backend, limit);
    if (result.fault == ExchangeFault::kNone) {
      connection->SetServerStart(result.statement.started);
      BackendDirectory::RecordProcess(*backend, result.statement.started, Clock::now());
      if (connection->Reusable()) co_return;
    } else if (fresh) {
      checkout.connection = nullptr;
      checkout.fault = ExchangeFault::kNotSent;
      co_return;
    }
    acquired = co_await AcquireConnection(state, backend, deadline);
    // A server that closes the connection after each response can't be asked on the next one.
    const bool told = result.fault == ExchangeFault::kNone && acquired.checkout.connection;
    if (told) acquired.checkout.connection->SetServerStart(result.statement.started);
  }
}

/// Finds out whether the process that wrote a response, which ended with its connection, lives on.
/// `writer`: its start, 0 if not known. Takes one round trip, and until `deadline` if the server
/// can't be reached.
template <WireFormat Wire>
net::awaitable<EndVerdict> QueryEnd(GatewayState& state, BackendPtr backend, StartStamp writer,
                                    TimePoint deadline) {
  constexpr std::chrono::milliseconds kRetryInterval{100};
  Timer timer(state.executor());
  while (Clock::now() < deadline) {
    EndEvidence evidence;
    evidence.writer = writer;
    BackendConnection acquired = co_await AcquireConnection(state, backend, deadline);
    const std::shared_ptr<OutboundConnection> connection = acquired.checkout.connection;
    evidence.on_older_connection = connection && !acquired.checkout.fresh;
    if (connection) {
      const QueryResult result = co_await QueryProcess<Wire>(connection, backend, deadline);
      evidence.responded = result.fault == ExchangeFault::kNone;
      evidence.statement = result.statement;
      ReleaseConnection(state, *backend, acquired.via_peer, connection);
    } else {
      // A partition may refuse connections, too.
      const bool may_be_partitioned =
          state.has_peer_paths() && (state.IsIsolated(Clock::now()) || !backend->reachable);
      evidence.refused = acquired.checkout.refused && !may_be_partitioned;
    }
    const EndVerdict verdict = JudgeEnd(evidence);
    if (verdict != EndVerdict::kUndecided) co_return verdict;
    // An older connection ends with its process; the next one may tell more.
    if (!evidence.on_older_connection) co_await WaitFor(timer, kRetryInterval);
  }
  co_return EndVerdict::kUndecided;
}

}  // namespace ridgehold
