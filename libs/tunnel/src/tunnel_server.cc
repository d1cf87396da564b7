#include "tunnel/tunnel_server.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "log/log.h"
#include "net/io_deadline.h"
#include "tunnel/tunnel_framing.h"
#include "tunnel/tunnel_session.h"

namespace ridgehold {
namespace {

TunnelResult ResultOf(const ErrorCode& error) {
  if (!error) return TunnelResult::kOpen;
  return error == net::error::connection_refused ? TunnelResult::kRefused
                                                 : TunnelResult::kUnreachable;
}

ResponseMessage ResponseFor(TunnelResult result, StreamFraming framing) {
  ResponseMessage response(StatusOf(result), 11);
  response.set(kTunnelResultField, std::string(NameOf(result)));
  if (framing == StreamFraming::kRecords) response.set(kTunnelFramingField, kRecordFraming);
  response.keep_alive(result == TunnelResult::kOpen);
  if (result != TunnelResult::kOpen) response.prepare_payload();
  return response;
}

}  // namespace

TunnelServer::~TunnelServer() { Abort(); }

void TunnelServer::Abort() {
  const Sessions sessions = *sessions_;
  for (const auto& [number, weak] : sessions) {
    if (const auto session = weak.lock()) session->Abort();
  }
}

TunnelServer::Destination TunnelServer::Resolve(const BackendId& backend) const {
  if (stopping_) return {TunnelResult::kStopping, {}};
  if (sessions_->size() + connecting_ >= options_.max_tunnels) return {TunnelResult::kFull, {}};
  return resolve_(backend);
}

net::awaitable<TunnelResult> TunnelServer::Connect(tcp::socket& backend, tcp::endpoint endpoint) {
  // Shared, since the handler of a deadline that is disarmed runs later than this coroutine.
  const auto limit = std::make_shared<IoDeadline>(backend);
  limit->Arm(Clock::now() + options_.connect_timeout, IoDeadline::Event::kWritable,
             [&backend, limit] {
               ErrorCode ignored;
               backend.close(ignored);
             });
  ErrorCode error;
  ++connecting_;
  co_await backend.async_connect(endpoint, net::redirect_error(net::use_awaitable, error));
  --connecting_;
  limit->Disarm();
  co_return backend.is_open() ? ResultOf(error) : TunnelResult::kUnreachable;
}

net::awaitable<void> TunnelServer::Serve(tcp::socket socket, RequestMessage request) {
  const BackendId backend_id{std::string(request.target())};
  const Destination destination = Resolve(backend_id);
  TunnelResult result = destination.result;
  tcp::socket backend(socket.get_executor());
  if (result == TunnelResult::kOpen) {
    result = co_await Connect(backend, destination.endpoint);
    on_connect_(backend_id, result);
  }
  metrics_.GetCounter("ridgehold_tunnels_served", "result=\"" + std::string(NameOf(result)) + "\"")
      .Add();
  const StreamFraming framing = TunnelFramingOf(request);
  ErrorCode error;
  const auto from = socket.remote_endpoint(error);
  Log(LogLevel::kDebug, "tunnel requested",
      {{"backend", backend_id.value()},
       {"from", error ? "" : from.address().to_string()},
       {"result", std::string(NameOf(result))},
       {"records", framing == StreamFraming::kRecords ? "yes" : "no"},
       {"open", std::to_string(sessions_->size())}});
  ResponseMessage response = ResponseFor(result, framing);
  http::response_serializer<http::string_body> serializer(response);
  co_await http::async_write(socket, serializer, net::redirect_error(net::use_awaitable, error));
  if (error || result != TunnelResult::kOpen) co_return;
  StartSession(std::move(socket), std::move(backend), framing);
}

void TunnelServer::StartSession(tcp::socket peer, tcp::socket backend, StreamFraming framing) {
  Apply(options_.liveness, peer);
  Apply(options_.liveness, backend);
  const std::uint64_t number = ++last_session_;
  const auto session =
      TunnelSession::Create(std::move(peer), std::move(backend), framing,
                            [sessions = sessions_, number] { sessions->erase(number); });
  sessions_->emplace(number, session);
  session->Start();
}

}  // namespace ridgehold
