#include "tunnel/tunnel_dialer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "net/io_deadline.h"
#include "net/read_buffer.h"
#include "tunnel/tunnel_framing.h"

namespace ridgehold {
namespace {

constexpr std::size_t kMaxUnparsedBytes = std::size_t{16} << 10;

/// A connection to a peer until the tunnel is open. Shared with the deadline's handler.
struct Dialing {
  explicit Dialing(const net::any_io_executor& executor) : socket(executor), limit(socket) {}

  tcp::socket socket;
  IoDeadline limit;
};

void ArmLimit(const std::shared_ptr<Dialing>& dialing, TimePoint deadline,
              IoDeadline::Event event) {
  dialing->limit.Arm(deadline, event, [dialing] {
    ErrorCode ignored;
    dialing->socket.close(ignored);
  });
}

TunnelResult ResultOf(const ResponseHead& head) {
  const auto field = head.find(kTunnelResultField);
  if (field == head.end()) return TunnelResult::kPeerFailed;
  return ParseTunnelResult({field->value().data(), field->value().size()});
}

}  // namespace

net::awaitable<TunnelCheckout> OpenTunnel(net::any_io_executor executor, tcp::endpoint peer,
                                          BackendId backend, TcpLiveness liveness,
                                          TimePoint deadline) {
  const auto dialing = std::make_shared<Dialing>(executor);
  ArmLimit(dialing, deadline, IoDeadline::Event::kWritable);
  TunnelCheckout checkout;
  ErrorCode error;
  co_await dialing->socket.async_connect(peer, net::redirect_error(net::use_awaitable, error));
  if (error) {
    dialing->limit.Disarm();
    co_return checkout;
  }
  ArmLimit(dialing, deadline, IoDeadline::Event::kReadable);
  Apply(liveness, dialing->socket);
  http::request<http::empty_body> request(http::verb::connect, backend.value(), 11);
  request.set(http::field::host, backend.value());
  request.set(kTunnelFramingField, kRecordFraming);
  co_await http::async_write(dialing->socket, request,
                             net::redirect_error(net::use_awaitable, error));
  ReadBuffer buffer(executor, kMaxUnparsedBytes);
  http::response_parser<http::empty_body> parser;
  parser.skip(true);
  if (!error) {
    co_await http::async_read_header(dialing->socket, buffer, parser,
                                     net::redirect_error(net::use_awaitable, error));
  }
  dialing->limit.Disarm();
  if (error || !dialing->socket.is_open()) co_return checkout;
  checkout.result = ResultOf(parser.get().base());
  // A backend server sends nothing before it has received a request.
  if (checkout.result == TunnelResult::kOpen && buffer.size() > 0) {
    checkout.result = TunnelResult::kPeerFailed;
  }
  if (checkout.result != TunnelResult::kOpen) co_return checkout;
  checkout.connection =
      OutboundConnection::Adopt(std::move(dialing->socket), TunnelFramingOf(parser.get()));
  co_return checkout;
}

}  // namespace ridgehold
