#include "gateway/caller_connection.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <cerrno>

#include "net/head_size.h"
#include "net/request_framing.h"
#include "net/wait.h"

namespace ridgehold {
namespace {

constexpr unsigned kHttp11 = 11;
// A pipelined request keeps the socket readable, so a disconnect after it raises no event. Polling
// at this interval detects it well within half a second.
constexpr std::chrono::milliseconds kDisconnectPollInterval{200};
// After the client has ended its sending side, which raises no further event.
constexpr std::chrono::milliseconds kHalfClosedPollInterval{25};
// Round trip within which a host answers a probe with a reset.
constexpr std::chrono::milliseconds kProbeReplyTime{50};
// The interval grows fourfold with each probe. Some clients fail after five interim responses.
constexpr std::chrono::milliseconds kProbeInterval{75};
constexpr int kMaxProbes = 4;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
// A chunk's size may have leading zeros.
constexpr std::string_view kLeadingZero = "0";
// Old clients send an empty line after a body; more than a few are no request.
constexpr std::size_t kMaxEmptyLineBytes = 16;
constexpr std::chrono::milliseconds kLingerTime{2'000};
constexpr std::size_t kMaxLingerBytes = std::size_t{16} << 20;
constexpr std::size_t kReadBytes = std::size_t{4} << 10;

ReadOutcome Refused(ResultCode code, std::string detail = "") {
  return {ReadOutcome::Kind::kRefused, {code, std::move(detail)}, RequestId()};
}

ReadOutcome OutcomeOf(const ErrorCode& error) {
  if (error == http::error::header_limit) return Refused(ResultCode::kHeaderTooLarge);
  if (error == http::error::body_limit) return Refused(ResultCode::kBodyTooLarge);
  const bool closed = error == http::error::end_of_stream || error == http::error::partial_message;
  if (closed || error.category() != http::make_error_code(http::error::bad_method).category()) {
    return {};
  }
  return Refused(ResultCode::kMalformedRequest, error.message());
}

bool ExpectsContinue(const RequestHead& head) {
  const auto field = head.find(http::field::expect);
  return field != head.end() && boost::beast::iequals(field->value(), "100-continue");
}

/// The events among POLLRDHUP (the peer has ended its sending side, even if unread bytes precede
/// that), POLLERR and POLLHUP (the connection was reset, or both sides have ended).
int CloseEvents(int descriptor) {
  pollfd poll_request{descriptor, POLLRDHUP, 0};
  return ::poll(&poll_request, 1, 0) > 0 ? poll_request.revents : 0;
}

}  // namespace

std::shared_ptr<CallerConnection> CallerConnection::Create(tcp::socket socket) {
  ErrorCode ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  return std::shared_ptr<CallerConnection>(new CallerConnection(std::move(socket)));
}

CallerConnection::CallerConnection(tcp::socket socket)
    : socket_(std::move(socket)),
      limit_(socket_),
      watch_timer_(socket_.get_executor()),
      buffer_(socket_.get_executor(), kReadBytes),
      head_share_(ReadBudget::Of(socket_.get_executor())) {}

net::awaitable<ReadOutcome> CallerConnection::Read(const LimitsSource& current_limits,
                                                   const AdmitBody& admit) {
  auto self = shared_from_this();
  idle_since_ = Clock::now();
  const bool arrived = co_await WaitForRequest(current_limits);
  idle_since_.reset();
  ReadOutcome outcome;
  if (!arrived) co_return outcome;
  const CallerLimits limits = current_limits();
  // Also bounds what frames a chunked body, which the parser's limits don't count. What has been
  // received of later requests stays.
  buffer_.max_size(std::max<std::size_t>(limits.max_header_bytes, buffer_.size()) + kReadBytes);
  Parser parser;
  parser.header_limit(limits.max_header_bytes);
  parser.body_limit(limits.max_body_bytes);
  ErrorCode error = co_await ReadHead(parser, limits);
  if (!error) {
    if (auto failure = FramingFailure(head_, parser.chunked())) {
      limit_.Disarm();
      outcome = Refused(failure->code, std::move(failure->detail));
      co_return outcome;
    }
  }
  if (!error && parser.chunked()) error = co_await BeginChunkedBody(parser, limits);
  BodyVerdict verdict;
  if (!error) verdict = co_await AdmitLargeBody(parser, limits, admit);
  if (verdict.refusal) {
    outcome.kind = ReadOutcome::Kind::kRefused;
    outcome.failure = std::move(*verdict.refusal);
    outcome.request = std::move(verdict.request);
    co_return outcome;
  }
  if (!error) error = co_await ReadBody(parser, limits);
  limit_.Disarm();
  const bool too_slow = error && limit_.expired();
  if (too_slow) outcome = Refused(ResultCode::kRequestTooSlow);
  if (!too_slow && error) outcome = OutcomeOf(error);
  const bool no_room = !head_fits_ || !buffer_.Full();
  if (!too_slow && error == http::error::buffer_overflow && no_room) {
    outcome = Refused(ResultCode::kOverloaded, "no room for received bytes");
  }
  if (error) co_return outcome;
  // The client's time limit goes on while its body waits for room.
  received_at_ = Clock::now() - verdict.waited;
  request_ = std::make_shared<HeldRequest>();
  request_->message = parser.release();
  verdict.room.ShrinkTo(request_->message.body().size());
  request_->room = std::move(verdict.room);
  probe_ = kContinue;
  probes_ = 0;
  next_probe_at_ = TimePoint();
  // Trailer fields must not be merged into the request's header fields.
  RequestMessage& message = request_->message;
  if (message.chunked()) message.base() = head_;
  close_after_ = !message.keep_alive();
  outcome.kind = ReadOutcome::Kind::kRequest;
  co_return outcome;
}

net::awaitable<bool> CallerConnection::WaitForRequest(const LimitsSource& limits) {
  ErrorCode error;
  std::size_t skipped = 0;
  TimePoint since = Clock::now();
  TimePoint close_at = since + limits().idle_timeout;
  for (;;) {
    if (skipped < kMaxEmptyLineBytes) skipped += SkipEmptyLines();
    if (buffer_.size() > 0 || error) break;
    ArmLimit(close_at);
    error = co_await ReadBytes();
    limit_.Disarm();
    if (limit_.expired() && error == net::error::operation_aborted && HasNextRequest()) {
      // It came while another handler held up the event loop between the limit and this one.
      error = {};
    } else if (!limit_.expired()) {
      since = Clock::now();
      close_at = since + limits().idle_timeout;
    } else if (since + limits().idle_timeout > close_at) {
      // The limit was raised meanwhile, and the client may rely on that.
      close_at = since + limits().idle_timeout;
      if (error == net::error::operation_aborted) error = {};
    } else {
      break;
    }
  }
  if (buffer_.size() == 0 && limit_.expired()) closed_at_limit_ = CloseSilently();
  co_return !error && socket_.is_open();
}

net::awaitable<ErrorCode> CallerConnection::ReadBytes() {
  ErrorCode error;
  // No buffer is held while the connection is idle.
  co_await socket_.async_wait(tcp::socket::wait_read,
                              net::redirect_error(net::use_awaitable, error));
  if (error) co_return error;
  // An asynchronous read would hold the bytes until its handler runs: the connection would look
  // idle with nothing to read.
  const std::size_t bytes = socket_.read_some(buffer_.prepare(kReadBytes), error);
  buffer_.commit(bytes);
  if (error == net::error::would_block) error = {};
  co_return error;
}

std::size_t CallerConnection::SkipEmptyLines() {
  const std::string_view bytes(static_cast<const char*>(buffer_.data().data()), buffer_.size());
  const std::size_t request = std::min(bytes.find_first_not_of("\r\n"), bytes.size());
  buffer_.consume(request);
  return request;
}

net::awaitable<ErrorCode> CallerConnection::ReadHead(Parser& parser, CallerLimits limits) {
  ErrorCode error;
  head_ = {};
  ArmLimit(limits.header_timeout);
  co_await http::async_read_header(socket_, buffer_, parser,
                                   net::redirect_error(net::use_awaitable, error));
  if (error) co_return error;
  const HeadSize size = MeasureHead(parser.get());
  if (size.Excessive()) co_return http::error::header_limit;
  constexpr std::size_t kCopies = 2;
  head_fits_ = head_share_.Resize(kCopies * size.bytes);
  if (!head_fits_) co_return http::error::buffer_overflow;
  head_ = parser.get().base();
  co_return error;
}

net::awaitable<BodyVerdict> CallerConnection::AdmitLargeBody(Parser& parser, CallerLimits limits,
                                                             const AdmitBody& admit) {
  BodyVerdict verdict;
  // The length of a chunked body is not known before its end.
  const std::size_t bytes =
      parser.chunked() ? limits.max_body_bytes : parser.content_length().value_or(0);
  if (parser.is_done() || bytes <= kSmallBodyBytes) co_return std::move(verdict);
  limit_.Disarm();
  const TimePoint asked_at = Clock::now();
  verdict = co_await admit(head_, bytes);
  verdict.waited = std::chrono::duration_cast<Duration>(Clock::now() - asked_at);
  // Growing would take up to three times the bytes for a moment.
  if (!verdict.refusal) parser.get().body().reserve(bytes);
  co_return std::move(verdict);
}

net::awaitable<ErrorCode> CallerConnection::BeginChunkedBody(Parser& parser, CallerLimits limits) {
  ErrorCode error;
  if (ExpectsContinue(head_)) error = co_await SendContinue();
  ArmLimit(limits.idle_timeout);
  while (!error && !parser.is_done() && parser.get().body().size() <= kSmallBodyBytes) {
    co_await http::async_read_some(socket_, buffer_, parser,
                                   net::redirect_error(net::use_awaitable, error));
  }
  co_return error;
}

net::awaitable<ErrorCode> CallerConnection::ReadBody(Parser& parser, CallerLimits limits) {
  ErrorCode error;
  // Only now, so that the client need not send a body that is refused.
  if (ExpectsContinue(head_) && !parser.chunked()) error = co_await SendContinue();
  if (error || parser.is_done()) co_return error;
  ArmLimit(limits.idle_timeout);
  co_await http::async_read(socket_, buffer_, parser,
                            net::redirect_error(net::use_awaitable, error));
  co_return error;
}

void CallerConnection::ReleaseRequest() {
  request_.reset();
  head_ = {};
  head_share_.Resize(0);
  // Idle connections must not use up the memory for heads of others.
  if (buffer_.size() == 0) buffer_.shrink_to_fit();
}

net::awaitable<ErrorCode> CallerConnection::SendContinue() {
  ErrorCode error;
  co_await net::async_write(socket_, net::buffer(kContinue),
                            net::redirect_error(net::use_awaitable, error));
  co_return error;
}

void CallerConnection::ArmLimit(TimePoint moment) {
  // Cancels pending reads only, so that the error response can still be sent.
  limit_.Arm(moment, IoDeadline::Event::kReadable, [self = shared_from_this()] {
    ErrorCode ignored;
    self->socket_.cancel(ignored);
  });
}

void CallerConnection::WatchCaller(std::function<void()> on_gone) {
  on_gone_ = std::move(on_gone);
  watching_ = true;
  const std::uint64_t watch = ++watch_;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this(), watch](const ErrorCode& error) {
                       self->OnReadable(error, watch);
                     });
}

void CallerConnection::OnReadable(const ErrorCode& error, std::uint64_t watch) {
  if (!watching_ || watch != watch_) return;
  // The bytes belong to the next request, which is read after this one is answered.
  if (!error && !PollCallerGone()) return WatchAgainLater(watch);
  watching_ = false;
  caller_gone_ = true;
  const auto on_gone = std::exchange(on_gone_, nullptr);
  if (on_gone) on_gone();
}

void CallerConnection::WatchAgainLater(std::uint64_t watch) {
  watch_timer_.expires_after(sending_ended_at_ ? kHalfClosedPollInterval : kDisconnectPollInterval);
  watch_timer_.async_wait([self = shared_from_this(), watch](const ErrorCode& error) {
    if (error || !self->watching_ || watch != self->watch_) return;
    self->WatchCaller(std::move(self->on_gone_));
  });
}

bool CallerConnection::PollCallerGone() {
  if (caller_gone_) return true;
  const int events = CloseEvents(socket_.native_handle());
  const bool knows_interim = head_.version() >= kHttp11;
  if ((events & (POLLERR | POLLHUP | POLLNVAL)) != 0 || (events != 0 && !knows_interim)) {
    caller_gone_ = true;
  } else if (events != 0) {
    if (!sending_ended_at_) sending_ended_at_ = Clock::now();
    ProbeCaller();
  }
  return caller_gone_;
}

void CallerConnection::ProbeCaller() {
  const TimePoint now = Clock::now();
  if (probe_.empty() || probes_ >= kMaxProbes || now < next_probe_at_) return;
  next_probe_at_ = now + kProbeInterval * (1 << 2 * probes_);
  ++probes_;
  const auto sent =
      ::send(socket_.native_handle(), probe_.data(), probe_.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  const bool none = sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  // Nothing can follow a part of a probe.
  if (!none && sent != static_cast<ssize_t>(probe_.size())) caller_gone_ = true;
  if (sent > 0 && probe_ == kLeadingZero) chunk_begun_ = true;
}

net::awaitable<bool> CallerConnection::ConfirmCallerGone() {
  auto self = shared_from_this();
  Timer timer(socket_.get_executor());
  while (!PollCallerGone() && sending_ended_at_ && !probe_.empty()) {
    const TimePoint decided = *sending_ended_at_ + kProbeReplyTime;
    if (Clock::now() >= decided) break;
    co_await WaitUntil(timer, std::min(decided, Clock::now() + kHalfClosedPollInterval / 5));
  }
  co_return caller_gone_;
}

bool CallerConnection::HasNextRequest() {
  if (buffer_.size() > 0) return true;
  char byte = 0;
  return ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

net::awaitable<void> CallerConnection::Linger() {
  auto self = shared_from_this();
  ErrorCode error;
  socket_.shutdown(tcp::socket::shutdown_send, error);
  ArmLimit(kLingerTime);
  std::size_t discarded = 0;
  while (!error && discarded < kMaxLingerBytes) {
    discarded += buffer_.size();
    buffer_.consume(buffer_.size());
    error = co_await ReadBytes();
  }
  limit_.Disarm();
}

void CallerConnection::StopWatching() {
  if (!std::exchange(watching_, false)) return;
  on_gone_ = nullptr;
  watch_timer_.cancel();
  ErrorCode ignored;
  socket_.cancel(ignored);
}

net::awaitable<bool> CallerConnection::Send(ResponseMessage answer, bool close_after) {
  auto self = shared_from_this();
  StopWatching();
  close_after_ = close_after_ || close_after;
  answer.version(kHttp11);
  answer.keep_alive(!close_after_);
  probe_ = {};
  if (head_.method() == http::verb::head) answer.body().clear();
  ErrorCode error;
  http::response_serializer<http::string_body> serializer(answer);
  co_await http::async_write(socket_, serializer, net::redirect_error(net::use_awaitable, error));
  if (error) Close();
  co_return !error;
}

net::awaitable<bool> CallerConnection::BeginStream(ResponseHead head, bool close_after) {
  auto self = shared_from_this();
  close_after_ = close_after_ || close_after;
  probe_ = {};
  http::response<http::empty_body> answer(std::move(head));
  answer.version(kHttp11);
  answer.keep_alive(!close_after_);
  answer.erase(http::field::content_length);
  answer.chunked(true);
  http::response_serializer<http::empty_body> serializer(answer);
  ErrorCode error;
  co_await http::async_write_header(socket_, serializer,
                                    net::redirect_error(net::use_awaitable, error));
  if (error) caller_gone_ = true;
  probe_ = kLeadingZero;
  co_return !error;
}

net::awaitable<bool> CallerConnection::WriteChunk(std::string bytes) {
  auto self = shared_from_this();
  ErrorCode error;
  probe_ = {};
  chunk_begun_ = false;
  co_await net::async_write(socket_,
                            http::make_chunk(net::const_buffer(bytes.data(), bytes.size())),
                            net::redirect_error(net::use_awaitable, error));
  if (error) caller_gone_ = true;
  probe_ = kLeadingZero;
  co_return !error;
}

net::awaitable<bool> CallerConnection::EndStream() {
  auto self = shared_from_this();
  StopWatching();
  probe_ = {};
  chunk_begun_ = false;
  ErrorCode error;
  co_await net::async_write(socket_, http::make_chunk_last(),
                            net::redirect_error(net::use_awaitable, error));
  if (error) Close();
  co_return !error;
}

void CallerConnection::Abort() {
  StopWatching();
  // Some clients take a lone zero at the end of the connection for the last chunk.
  constexpr std::string_view kChunkOfOne = "1\r\n";
  if (std::exchange(chunk_begun_, false)) {
    ::send(socket_.native_handle(), kChunkOfOne.data(), kChunkOfOne.size(),
           MSG_DONTWAIT | MSG_NOSIGNAL);
  }
  Close();
}

std::optional<SilentClose> CallerConnection::CloseIfIdle(std::chrono::milliseconds idle_time) {
  if (!idle_since_ || Clock::now() - *idle_since_ < idle_time || buffer_.size() > 0 ||
      !socket_.is_open())
    return std::nullopt;
  char byte = 0;
  const auto read = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // A request that has just arrived is still processed.
  if (read > 0) return std::nullopt;
  return CloseSilently();
}

SilentClose CallerConnection::CloseSilently() {
  SilentClose closed;
  ErrorCode ignored;
  closed.unread_bytes = buffer_.size() + socket_.available(ignored);
  if (idle_since_) {
    closed.idle = std::chrono::duration_cast<Duration>(Clock::now() - *idle_since_);
  }
  Close();
  return closed;
}

void CallerConnection::Close() {
  idle_since_.reset();
  ErrorCode ignored;
  socket_.shutdown(tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  limit_.Disarm();
}

}  // namespace ridgehold
