// Client connection: reads requests within limits, writes responses, and detects disconnects.

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/result.h"
#include "buffering/body_room.h"
#include "gateway/body_verdict.h"
#include "gateway/routing_snapshot.h"
#include "gateway/wire_format.h"
#include "net/beast.h"
#include "net/io_deadline.h"
#include "net/read_buffer.h"
#include "net/read_share.h"
#include "net/timer.h"

namespace ridgehold {

/// Result of reading a request.
struct ReadOutcome {
  enum class Kind : std::uint8_t {
    kRequest,
    kClosed,   ///< the client disconnected or was idle for too long; no response is possible
    kRefused,  ///< respond with `failure`, then close the connection
  };
  Kind kind = Kind::kClosed;
  Failure failure;
  RequestId request;  ///< of a refused request, if its head was decoded
};

/// A connection that this side closed without a response, while the client could send a request.
struct SilentClose {
  std::size_t unread_bytes = 0;  ///< received from the client and lost
  Duration idle{};               ///< since the connection began to wait for a request
};

/// Transport of one connection, independent of routing. All calls must come from one executor.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  static std::shared_ptr<CallerConnection> Create(tcp::socket socket);

  /// Decides whether a body of so many bytes is read. Not asked for bodies of up to
  /// kSmallBodyBytes.
  using AdmitBody = std::function<net::awaitable<BodyVerdict>(const RequestHead&, std::size_t)>;
  /// Small bodies must not wait behind large ones. All connections together hold at most some
  /// megabytes of them.
  static constexpr std::size_t kSmallBodyBytes = std::size_t{8} << 10;

  /// Returns the limits in force: they may change while the connection waits for a request.
  using LimitsSource = std::function<CallerLimits()>;

  /// Reads the next request with its whole body into `request()`. `head()` has its header fields
  /// without trailers. An idle connection is closed after the idle limit that was in force when it
  /// became idle, or the current one if that is longer. `limits` and `admit` must live until the
  /// request is read.
  net::awaitable<ReadOutcome> Read(const LimitsSource& limits, const AdmitBody& admit);

  const RequestHead& head() const { return head_; }
  /// When `request()` arrived, as if its body had not had to wait for room.
  TimePoint received_at() const { return received_at_; }
  /// Valid until ReleaseRequest().
  const RequestMessage& request() const { return request_->message; }
  /// The body of `request()`, whose room in memory is taken for as long as it is referred to.
  std::shared_ptr<const std::string> body() const { return {request_, &request_->message.body()}; }
  /// Releases the memory of the request once it is answered.
  void ReleaseRequest();

  /// Calls `on_gone` once if the client disconnects before StopWatching.
  void WatchCaller(std::function<void()> on_gone);
  void StopWatching();
  bool caller_gone() const { return caller_gone_; }

  /// Polls the socket for a disconnect, whose event may still be queued in a busy event loop. A
  /// client that has ended only its sending side still gets its response: bytes are sent, which a
  /// host answers with a reset if the client has closed both sides. These are an interim response
  /// (100), and in a stream a leading zero of the next chunk's size. Clients of HTTP/1.0, which
  /// know neither, count as gone.
  bool PollCallerGone();

  /// Like PollCallerGone(); if the client has ended its sending side, waits long enough for a
  /// reset.
  net::awaitable<bool> ConfirmCallerGone();

  /// Whether bytes of another request have been received.
  bool HasNextRequest();

  /// Each returns false when the client has disconnected.
  net::awaitable<bool> Send(ResponseMessage answer, bool close_after);
  net::awaitable<bool> BeginStream(ResponseHead head, bool close_after);
  net::awaitable<bool> WriteChunk(std::string bytes);
  net::awaitable<bool> EndStream();

  /// Ends the sending side and discards what the client still sends, for a limited time and up to a
  /// limited number of bytes. A close with unread bytes would reset the connection and could
  /// destroy the last response on its way.
  net::awaitable<void> Linger();

  /// Closes immediately; a partly sent stream is seen as truncated by the client.
  void Abort();

  /// Closes if no request has been read or processed for `idle_time`. Returns nullopt if it has not
  /// closed.
  std::optional<SilentClose> CloseIfIdle(
      std::chrono::milliseconds idle_time = std::chrono::milliseconds(0));

  /// Set once Read() has closed the connection at its idle limit.
  const std::optional<SilentClose>& closed_at_limit() const { return closed_at_limit_; }

  /// Since when the open connection has been idle; nullopt while it is not.
  const std::optional<TimePoint>& idle_since() const { return idle_since_; }

  /// Whether the connection can carry another request.
  bool CanServeAnother() const { return socket_.is_open() && !close_after_ && !caller_gone_; }
  /// Whether the client has ended its sending side.
  bool half_closed() const { return sending_ended_at_.has_value(); }
  /// Whether a response has told the client that the connection ends.
  bool close_announced() const { return close_after_; }

 private:
  using Parser = http::request_parser<http::string_body>;

  /// A request and the room that its body takes.
  struct HeldRequest {
    BodyRoom room;
    RequestMessage message;
  };

  explicit CallerConnection(tcp::socket socket);

  net::awaitable<bool> WaitForRequest(const LimitsSource& limits);
  net::awaitable<ErrorCode> ReadBytes();
  /// Returns the number of bytes skipped.
  std::size_t SkipEmptyLines();
  void ProbeCaller();
  net::awaitable<ErrorCode> ReadHead(Parser& parser, CallerLimits limits);
  net::awaitable<BodyVerdict> AdmitLargeBody(Parser& parser, CallerLimits limits,
                                             const AdmitBody& admit);
  /// Reads a chunked body until it is complete or larger than kSmallBodyBytes.
  net::awaitable<ErrorCode> BeginChunkedBody(Parser& parser, CallerLimits limits);
  net::awaitable<ErrorCode> ReadBody(Parser& parser, CallerLimits limits);
  net::awaitable<ErrorCode> SendContinue();
  void ArmLimit(TimePoint moment);
  void ArmLimit(std::chrono::milliseconds limit) { ArmLimit(Clock::now() + limit); }
  void OnReadable(const ErrorCode& error, std::uint64_t watch);
  void WatchAgainLater(std::uint64_t watch);
  void Close();
  SilentClose CloseSilently();

  tcp::socket socket_;
  IoDeadline limit_;
  Timer watch_timer_;
  ReadBuffer buffer_;
  ReadShare head_share_;  ///< of `head_` and its copy in the request
  bool head_fits_ = true;
  RequestHead head_;
  std::shared_ptr<HeldRequest> request_;
  TimePoint received_at_{};
  std::function<void()> on_gone_;
  std::uint64_t watch_ = 0;
  bool watching_ = false;
  std::optional<TimePoint> idle_since_;
  std::optional<SilentClose> closed_at_limit_;
  /// What may be sent now to find out whether the client's host still takes bytes; empty: nothing.
  std::string_view probe_;
  bool chunk_begun_ = false;                   ///< a leading zero has been sent and no chunk since
  std::optional<TimePoint> sending_ended_at_;  ///< when the client's FIN was noticed
  TimePoint next_probe_at_{};
  int probes_ = 0;  ///< sent for the current request
  bool caller_gone_ = false;
  bool close_after_ = false;
};

}  // namespace ridgehold
