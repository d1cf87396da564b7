#include "tunnel/tunnel_session.h"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

#include "net/record_header.h"
#include "task/spawn.h"

namespace ridgehold {
namespace {

/// A write to a connection that has ended fails at once, unless the event loop is held up.
constexpr std::chrono::milliseconds kWriteEndTimeout{1'000};
constexpr std::size_t kBufferBytes = std::size_t{8} << 10;
static_assert(kBufferBytes <= kMaxRecordBytes);

void Reset(tcp::socket& socket) {
  ErrorCode ignored;
  socket.set_option(net::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

std::shared_ptr<TunnelSession> TunnelSession::Create(tcp::socket peer, tcp::socket backend,
                                                     StreamFraming framing,
                                                     std::function<void()> on_end) {
  return std::shared_ptr<TunnelSession>(
      new TunnelSession(std::move(peer), std::move(backend), framing, std::move(on_end)));
}

TunnelSession::TunnelSession(tcp::socket peer, tcp::socket backend, StreamFraming framing,
                             std::function<void()> on_end)
    : peer_(std::move(peer)),
      backend_(std::move(backend)),
      framing_(framing),
      on_end_(std::move(on_end)) {}

TunnelSession::~TunnelSession() { on_end_(); }

void TunnelSession::Start() {
  const auto executor = peer_.socket.get_executor();
  Spawn(executor, "tunnel to backend", CopyToBackend());
  Spawn(executor, "tunnel to peer", CopyToPeer());
}

void TunnelSession::Abort() {
  Reset(peer_.socket);
  Reset(backend_.socket);
}

void TunnelSession::Close() {
  ErrorCode ignored;
  peer_.socket.close(ignored);
  backend_.socket.close(ignored);
}

/// A peer closes its side only when it needs no further response. Requests need no records, since
/// each has a length or is chunked.
net::awaitable<void> TunnelSession::CopyToBackend() {
  auto self = shared_from_this();
  const CopyEnd end = co_await Copy(peer_, backend_, StreamFraming::kNone);
  // What the server has sent until then, and how it has ended, is left to the other direction.
  if (end == CopyEnd::kOutputFailed) co_await DiscardFromPeer();
  end == CopyEnd::kInputFailed ? Abort() : Close();
}

net::awaitable<void> TunnelSession::CopyToPeer() {
  auto self = shared_from_this();
  const CopyEnd end = co_await Copy(backend_, peer_, framing_);
  if (end != CopyEnd::kInputEnded) co_return Abort();
  ErrorCode ignored;
  if (framing_ == StreamFraming::kRecords) {
    const RecordHeader final_record = EncodeRecordHeader(kFinalRecordLength);
    co_await net::async_write(peer_.socket, net::buffer(final_record),
                              net::redirect_error(net::use_awaitable, ignored));
  }
  peer_.socket.shutdown(tcp::socket::shutdown_send, ignored);
}

net::awaitable<TunnelSession::CopyEnd> TunnelSession::Copy(Side& from, Side& to,
                                                           StreamFraming framing) {
  const std::size_t header_bytes =
      framing == StreamFraming::kRecords ? std::tuple_size_v<RecordHeader> : 0;
  std::array<unsigned char, std::tuple_size_v<RecordHeader> + kBufferBytes> buffer;
  for (;;) {
    ErrorCode error;
    const std::size_t bytes = co_await from.socket.async_read_some(
        net::buffer(buffer.data() + header_bytes, kBufferBytes),
        net::redirect_error(net::use_awaitable, error));
    if (error && error != net::error::eof) co_return CopyEnd::kInputFailed;
    if (error) {
      const TimePoint limit = Clock::now() + kWriteEndTimeout;
      const bool in_order = co_await from.writes.InputEndedInOrder(from.socket, limit);
      co_return in_order ? CopyEnd::kInputEnded : CopyEnd::kInputFailed;
    }
    if (header_bytes > 0) std::ranges::copy(EncodeRecordHeader(bytes), buffer.begin());
    to.writes.Begin();
    co_await net::async_write(to.socket, net::buffer(buffer.data(), header_bytes + bytes),
                              net::redirect_error(net::use_awaitable, error));
    to.writes.End(error);
    if (error) co_return CopyEnd::kOutputFailed;
  }
}

net::awaitable<void> TunnelSession::DiscardFromPeer() {
  std::array<char, kBufferBytes> buffer;
  ErrorCode error;
  while (!error) {
    co_await peer_.socket.async_read_some(net::buffer(buffer),
                                          net::redirect_error(net::use_awaitable, error));
  }
}

}  // namespace ridgehold
