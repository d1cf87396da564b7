// An HTTP/1.1 client connection to a backend server or to the platform's store.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "net/beast.h"
#include "net/idle_state.h"
#include "net/io_deadline.h"
#include "net/read_buffer.h"
#include "net/response_stream.h"
#include "net/write_state.h"

namespace ridgehold {

/// How one exchange on a connection ended.
enum class ExchangeFault : std::uint8_t {
  kNone,       ///< success: the response is complete
  kNotSent,    ///< no byte of the request was sent
  kBroken,     ///< the connection was closed, or the response is malformed or too large
  kTimedOut,   ///< the deadline passed
  kCancelled,  ///< cancelled by `Cancel`
};

/// Carries one request at a time and never retries. Not thread-safe: all calls must come from
/// one executor. Pending operations keep the object alive.
class OutboundConnection : public std::enable_shared_from_this<OutboundConnection> {
 public:
  /// Late duplicate responses to earlier requests are skipped up to this number per exchange.
  static constexpr int kMaxStaleResponses = 2;
  static constexpr int kMaxInterimResponses = 16;

  static std::shared_ptr<OutboundConnection> Create(net::any_io_executor executor);

  /// Takes over a connected socket, on which no exchange has begun. `framing` is that of the
  /// server's bytes.
  static std::shared_ptr<OutboundConnection> Adopt(tcp::socket socket, StreamFraming framing);

  /// Connects. The kernel closes the connection when sent bytes stay unacknowledged for
  /// `tcp_user_timeout` (TCP_USER_TIMEOUT).
  net::awaitable<ExchangeFault> Connect(tcp::endpoint endpoint, TimePoint deadline,
                                        std::chrono::milliseconds tcp_user_timeout);

  /// Starts to send `request`. Reading may start at once: a server may respond before it has
  /// read the whole request. The response to a HEAD request has no body, whatever length it states.
  void StartRequest(const RequestMessage& request) { StartRequest(request, nullptr); }

  /// The same for a request whose body follows `head`, which states its length and has none itself.
  /// A large body is not copied, but shared until it is sent.
  void StartRequest(const RequestMessage& head, std::shared_ptr<const std::string> body);

  /// Reads the head of the next response; skips interim (1xx) responses, up to
  /// kMaxInterimResponses. Returns kBroken for bytes that begin no response: a status below 100 or
  /// above 599, a protocol switched without a request for it (101), an interim response with a
  /// body, a folded line, or a body in a coding other than `chunked`.
  net::awaitable<ExchangeFault> ReadHead(TimePoint deadline);

  /// The head that the last `ReadHead` read.
  const ResponseHead& head() const { return parser_->get().base(); }

  /// Appends received body bytes to `out`. Waits for at least one byte or for the end of the
  /// body; `BodyDone` tells which.
  net::awaitable<ExchangeFault> ReadBody(std::string& out, TimePoint deadline);

  /// Appends the rest of the body to `out`; returns kBroken if `may_hold(out.size())` is false.
  template <std::predicate<std::size_t> MayHold>
  net::awaitable<ExchangeFault> ReadWholeBody(std::string& out, MayHold may_hold,
                                              TimePoint deadline) {
    while (!BodyDone()) {
      const ExchangeFault fault = co_await ReadBody(out, deadline);
      if (fault != ExchangeFault::kNone) co_return fault;
      if (may_hold(out.size())) continue;
      broken_ = true;
      co_return ExchangeFault::kBroken;
    }
    co_return ExchangeFault::kNone;
  }

  /// Whether the last `Connect` failed with ECONNREFUSED: nothing listens on the address, so
  /// the server process has ended.
  bool connection_refused() const { return connection_refused_; }

  bool BodyDone() const { return parser_ && parser_->is_done(); }

  /// Whether the response has neither a length nor chunks, so that only the end of the connection
  /// ends it.
  bool EndsWithConnection() const { return parser_ && parser_->need_eof(); }

  /// Start of the server's process as it has told on this connection; 0 if it has not told it,
  /// nullopt if it has not been asked.
  const std::optional<StartStamp>& server_start() const { return server_start_; }
  void SetServerStart(StartStamp start) { server_start_ = start; }

  /// Why what the server sent counts as broken, for logs; empty if it does not, or if the
  /// connection just ended.
  std::string_view fault_reason() const { return fault_reason_; }

  /// Closes the connection. Its deadline timer would otherwise keep it open until it expires.
  void Close();

  /// Closes the connection once the request, if any, has been sent.
  void Discard();

  /// Cancels the running operation, which then returns kCancelled.
  void Cancel();

  /// If set, closing the socket or ending the process discards unacknowledged bytes (SO_LINGER
  /// with a timeout of 0). Otherwise the kernel goes on sending them, and an abandoned request
  /// or order may arrive a second later.
  void ResetOnClose(bool reset);

  /// Whether the connection can carry another exchange: the request was sent and the response
  /// read completely, no extra bytes followed, and the server keeps the connection open.
  bool Reusable() const;

  /// What has become of an idle connection.
  IdleState CheckIdle();

  /// Whether an idle connection is still open and has received no bytes.
  bool IdleAndOpen() { return CheckIdle() == IdleState::kOpen; }

  /// Whether bytes of the server, or the end of the connection, have arrived and were not read.
  bool HasUnreadInput();

  /// Whether the server has closed or reset the connection, also if unread bytes precede that.
  bool EndedByServer();

  /// Of an idle connection that the server has closed: when it did so, as far as the kernel tells.
  TimePoint ClosedAt(TimePoint now);

  /// When the connection was open; the epoch until then.
  TimePoint opened_at() const { return opened_at_; }

  TimePoint idle_since() const { return idle_since_; }
  /// An idle connection that was taken and not used has been idle all the time.
  void MarkIdle(TimePoint now);

  /// The idle timeout from the last Keep-Alive header field, if the server sent one.
  std::optional<std::chrono::seconds> keep_alive() const { return keep_alive_; }

 private:
  using Parser = http::response_parser<http::buffer_body>;

  OutboundConnection(tcp::socket socket, StreamFraming framing);

  void ArmDeadline(TimePoint deadline, IoDeadline::Event event);
  void OnWritten(const ErrorCode& error, std::size_t bytes);
  ExchangeFault CurrentFault(const ErrorCode& error) const;
  /// Receives a head and parses it.
  net::awaitable<ErrorCode> ReceiveHead();
  /// Receives more bytes into the buffer.
  net::awaitable<ErrorCode> ReceiveMore();
  /// Why the parsed head is none that a server may send; empty: it is one.
  std::string_view HeadFault() const;
  ExchangeFault Break(std::string_view reason);
  void ParseHeadFields();

  tcp::socket socket_;
  ResponseStream stream_;
  IoDeadline deadline_;
  ReadBuffer buffer_;
  std::optional<Parser> parser_;
  std::string outgoing_;                              ///< until it is sent
  std::shared_ptr<const std::string> outgoing_body_;  ///< follows `outgoing_`; null: none
  std::size_t written_ = 0;
  WriteState write_;
  bool expects_no_body_ = false;  ///< the request is HEAD
  bool close_when_sent_ = false;
  bool cancelled_ = false;
  bool broken_ = false;
  std::string_view fault_reason_;  ///< a literal
  bool connection_refused_ = false;
  TimePoint opened_at_{};
  TimePoint idle_since_{};
  bool used_ = true;  ///< since it was last marked idle
  IdleState idle_state_ = IdleState::kOpen;
  std::optional<std::chrono::seconds> keep_alive_;
  std::optional<StartStamp> server_start_;
};

}  // namespace ridgehold
