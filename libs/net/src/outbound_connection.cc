#include "net/outbound_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/read_size.hpp>
#include <cerrno>
#include <charconv>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "net/head_scanner.h"
#include "net/head_size.h"
#include "net/tcp_liveness.h"
#include "net/transfer_coding.h"

namespace ridgehold {
namespace {

constexpr std::size_t kReadChunkBytes = std::size_t{16} << 10;
// Far above the size of the response heads that backend servers send.
constexpr std::uint32_t kMaxResponseHeadBytes = 64 << 10;
constexpr std::size_t kMaxUnparsedBytes = kMaxResponseHeadBytes + (4 << 10);
// Copying less is cheaper than a second buffer, and lets the caller's copy go.
constexpr std::size_t kMaxCopiedBodyBytes = std::size_t{16} << 10;
constexpr unsigned kHttp11 = 11;
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;

/// Parses `timeout=SECONDS` in a Keep-Alive field value.
std::optional<std::chrono::seconds> ParseKeepAlive(std::string_view field) {
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = field.find(kName);
  if (at == std::string_view::npos) return std::nullopt;
  const std::string_view digits = field.substr(at + kName.size());
  long seconds = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec != std::errc()) return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

tcp::endpoint ParseEndpoint(const std::string& text) {
  // The address parser stops at a zero byte and takes a scope of any length. What is accepted here
  // is also sent in header fields.
  constexpr std::string_view kAddressCharacters = "0123456789abcdefABCDEF.:";
  if (text.find_first_not_of(kAddressCharacters) != std::string::npos) return {};
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return {};
  ErrorCode error;
  const auto address = net::ip::make_address(text.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) return {};
  return {address, port};
}

std::shared_ptr<OutboundConnection> OutboundConnection::Create(net::any_io_executor executor) {
  return Adopt(tcp::socket(executor), StreamFraming::kNone);
}

std::shared_ptr<OutboundConnection> OutboundConnection::Adopt(tcp::socket socket,
                                                              StreamFraming framing) {
  std::shared_ptr<OutboundConnection> connection(
      new OutboundConnection(std::move(socket), framing));
  connection->opened_at_ = Clock::now();
  return connection;
}

OutboundConnection::OutboundConnection(tcp::socket socket, StreamFraming framing)
    : socket_(std::move(socket)),
      stream_(socket_, framing),
      deadline_(socket_),
      buffer_(socket_.get_executor(), kMaxUnparsedBytes),
      write_(socket_.get_executor()) {}

net::awaitable<ExchangeFault> OutboundConnection::Connect(
    tcp::endpoint endpoint, TimePoint deadline, std::chrono::milliseconds tcp_user_timeout) {
  auto self = shared_from_this();
  ErrorCode error;
  socket_.open(endpoint.protocol(), error);
  if (error) co_return ExchangeFault::kNotSent;
  ArmDeadline(deadline, IoDeadline::Event::kWritable);
  co_await socket_.async_connect(endpoint, net::redirect_error(net::use_awaitable, error));
  deadline_.Disarm();
  connection_refused_ = error == net::error::connection_refused;
  if (error || cancelled_) {
    Close();
    co_return cancelled_ ? ExchangeFault::kCancelled : ExchangeFault::kNotSent;
  }
  Apply({tcp_user_timeout, std::nullopt}, socket_);
  opened_at_ = Clock::now();
  co_return ExchangeFault::kNone;
}

void OutboundConnection::StartRequest(const RequestMessage& head,
                                      std::shared_ptr<const std::string> body) {
  std::ostringstream text;
  text << head;
  outgoing_ = std::move(text).str();
  if (body && body->size() <= kMaxCopiedBodyBytes) {
    outgoing_ += *body;
    body.reset();
  }
  outgoing_body_ = std::move(body);
  written_ = 0;
  write_.Begin();
  used_ = true;
  expects_no_body_ = head.method() == http::verb::head;
  parser_.reset();
  const auto on_written = [self = shared_from_this()](const ErrorCode& error, std::size_t bytes) {
    self->OnWritten(error, bytes);
  };
  if (!outgoing_body_) return net::async_write(socket_, net::buffer(outgoing_), on_written);
  const std::array<net::const_buffer, 2> buffers = {net::buffer(outgoing_),
                                                    net::buffer(*outgoing_body_)};
  net::async_write(socket_, buffers, on_written);
}

void OutboundConnection::OnWritten(const ErrorCode& error, std::size_t bytes) {
  written_ = bytes;
  write_.End(error);
  // The connection may be idle for a long time before its next request.
  std::string().swap(outgoing_);
  outgoing_body_.reset();
  // Otherwise a pending read would wait for a server that has received no request.
  if (close_when_sent_ || (error && bytes == 0)) Close();
}

net::awaitable<ExchangeFault> OutboundConnection::ReadHead(TimePoint deadline) {
  auto self = shared_from_this();
  for (int interim = 0;; ++interim) {
    if (interim > kMaxInterimResponses) co_return Break("too many interim responses");
    parser_.emplace();
    parser_->header_limit(kMaxResponseHeadBytes);
    parser_->body_limit(boost::none);
    parser_->skip(expects_no_body_);
    ArmDeadline(deadline, IoDeadline::Event::kReadable);
    const ErrorCode error = co_await ReceiveHead();
    deadline_.Disarm();
    if (error || cancelled_) co_return CurrentFault(error);
    const std::string_view head_fault = HeadFault();
    if (!head_fault.empty()) co_return Break(head_fault);
    if (parser_->get().result_int() >= kFirstFinalStatus) break;
  }
  ParseHeadFields();
  co_return ExchangeFault::kNone;
}

net::awaitable<ErrorCode> OutboundConnection::ReceiveHead() {
  HeadScanner scanner;
  for (;;) {
    const std::string_view received(static_cast<const char*>(buffer_.data().data()),
                                    buffer_.size());
    const HeadScanner::Verdict verdict = scanner.Scan(received);
    if (verdict == HeadScanner::Verdict::kMalformed) {
      Break("malformed line in the head");
      co_return http::error::bad_field;
    }
    if (verdict == HeadScanner::Verdict::kComplete) break;
    const ErrorCode error = co_await ReceiveMore();
    if (error) co_return error;
  }
  ErrorCode error;
  const std::size_t parsed = parser_->put(buffer_.data(), error);
  buffer_.consume(parsed);
  if (error) Break("malformed head");
  co_return error;
}

net::awaitable<ErrorCode> OutboundConnection::ReceiveMore() {
  ErrorCode error = http::error::buffer_overflow;
  std::optional<ReadBuffer::mutable_buffers_type> space;
  try {
    const std::size_t room = boost::beast::read_size(buffer_, kMaxResponseHeadBytes);
    if (room > 0) space = buffer_.prepare(room);
  } catch (const std::length_error&) {
    co_return error;
  }
  if (!space) co_return error;
  const std::size_t bytes =
      co_await stream_.async_read_some(*space, net::redirect_error(net::use_awaitable, error));
  buffer_.commit(bytes);
  co_return error;
}

ExchangeFault OutboundConnection::Break(std::string_view reason) {
  broken_ = true;
  fault_reason_ = reason;
  return ExchangeFault::kBroken;
}

std::string_view OutboundConnection::HeadFault() const {
  const auto& message = parser_->get();
  const unsigned status = message.result_int();
  if (MeasureHead(message).Excessive()) return "too many fields";
  if (status < kFirstStatus || status > kLastStatus) return "invalid status";
  const TransferCoding coding = TransferCodingOf(message);
  if (status < kFirstFinalStatus) {
    // What follows such a head is the next response (RFC 9110, section 15.2).
    if (status == static_cast<unsigned>(http::status::switching_protocols)) {
      return "protocol switched unasked";
    }
    const bool has_body = message.has_content_length() || coding != TransferCoding::kNone;
    return has_body ? "interim response with a body" : "";
  }
  if (coding == TransferCoding::kNone) return "";
  const bool chunked =
      coding == TransferCoding::kChunked && parser_->chunked() && message.version() >= kHttp11;
  return chunked ? "" : "coding other than chunked";
}

void OutboundConnection::ParseHeadFields() {
  const auto field = head().find(http::field::keep_alive);
  if (field == head().end()) return;
  keep_alive_ = ParseKeepAlive({field->value().data(), field->value().size()});
}

net::awaitable<ExchangeFault> OutboundConnection::ReadBody(std::string& out, TimePoint deadline) {
  auto self = shared_from_this();
  std::array<char, kReadChunkBytes> chunk;
  const std::size_t before = out.size();
  while (!parser_->is_done() && out.size() == before) {
    auto& body = parser_->get().body();
    body.data = chunk.data();
    body.size = chunk.size();
    body.more = true;
    ErrorCode error;
    ArmDeadline(deadline, IoDeadline::Event::kReadable);
    co_await http::async_read_some(stream_, buffer_, *parser_,
                                   net::redirect_error(net::use_awaitable, error));
    deadline_.Disarm();
    out.append(chunk.data(), chunk.size() - body.size);
    if (error == http::error::need_buffer) error = {};
    if (error || cancelled_) co_return CurrentFault(error);
    // The final record of a tunnel tells the end by itself.
    const bool at_end = parser_->is_done() && parser_->need_eof();
    if (!at_end || stream_.framing() != StreamFraming::kNone) continue;
    const bool in_order = co_await write_.InputEndedInOrder(socket_, deadline);
    if (!in_order) co_return Break("reset while the request was sent");
  }
  co_return ExchangeFault::kNone;
}

void OutboundConnection::ArmDeadline(TimePoint deadline, IoDeadline::Event event) {
  deadline_.Arm(deadline, event, [self = shared_from_this()] {
    self->ResetOnClose(true);
    self->Close();
  });
}

ExchangeFault OutboundConnection::CurrentFault(const ErrorCode& /*error*/) const {
  if (!write_.pending() && write_.failed() && written_ == 0) return ExchangeFault::kNotSent;
  if (cancelled_) return ExchangeFault::kCancelled;
  if (deadline_.expired()) return ExchangeFault::kTimedOut;
  return ExchangeFault::kBroken;
}

void OutboundConnection::Cancel() {
  cancelled_ = true;
  ResetOnClose(true);
  Close();
}

void OutboundConnection::ResetOnClose(bool reset) {
  ErrorCode ignored;
  socket_.set_option(net::socket_base::linger(reset, 0), ignored);
}

void OutboundConnection::Close() {
  ErrorCode ignored;
  socket_.close(ignored);
  deadline_.Disarm();
}

void OutboundConnection::Discard() {
  close_when_sent_ = true;
  if (!write_.pending()) Close();
}

void OutboundConnection::MarkIdle(TimePoint now) {
  if (!std::exchange(used_, false)) return;
  idle_since_ = now;
  // Idle connections must not use up the memory for responses on others.
  if (buffer_.size() == 0) buffer_.shrink_to_fit();
  if (parser_) parser_->get().clear();
}

bool OutboundConnection::Reusable() const {
  const bool whole = socket_.is_open() && !write_.pending() && !write_.failed() &&
                     parser_.has_value() && parser_->is_done() && !broken_;
  return whole && parser_->keep_alive() && buffer_.size() == 0;
}

IdleState OutboundConnection::CheckIdle() {
  if (!socket_.is_open()) idle_state_ = IdleState::kBroken;
  // Reading takes the error of a reset; after that the connection looks closed.
  if (idle_state_ != IdleState::kOpen) return idle_state_;
  char byte = 0;
  const auto read = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (read == 0) {
    idle_state_ = IdleState::kClosed;
  } else if (read > 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
    idle_state_ = IdleState::kBroken;
  }
  return idle_state_;
}

bool OutboundConnection::HasUnreadInput() {
  pollfd poll_request{socket_.native_handle(), POLLIN, 0};
  return ::poll(&poll_request, 1, 0) > 0;
}

bool OutboundConnection::EndedByServer() {
  if (!socket_.is_open()) return true;
  pollfd poll_request{socket_.native_handle(), POLLRDHUP, 0};
  return ::poll(&poll_request, 1, 0) > 0 && poll_request.revents != 0;
}

TimePoint OutboundConnection::ClosedAt(TimePoint now) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int failed = ::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  if (failed != 0) return now;
  // The segment that ended the connection was the last that came.
  return std::max<TimePoint>(idle_since_, now - std::chrono::milliseconds(info.tcpi_last_ack_recv));
}

}  // namespace ridgehold
