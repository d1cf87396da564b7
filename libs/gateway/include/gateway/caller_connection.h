// One caller's connection: reads requests with limits, writes answers, notices a caller that
// leaves.

#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/result.h"
#include "gateway/routing_snapshot.h"
#include "gateway/wire_format.h"
#include "net/beast.h"
#include "net/timer.h"

namespace ridgehold {

/// A request as it was read, or why it could not be.
struct ReadOutcome {
  enum class Kind : std::uint8_t {
    kRequest,
    kClosed,   ///< the caller is gone, or was idle too long; nothing to answer
    kRefused,  ///< `failure` is to be answered, then the connection closed
  };
  Kind kind = Kind::kClosed;
  Failure failure;
};

/// Transport of one connection; knows nothing of routing. All calls come from
/// one executor.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  static std::shared_ptr<CallerConnection> Create(tcp::socket socket);

  /// Reads the next request with its whole body into `request()`. `head()` has
  /// its fields without any trailer.
  net::awaitable<ReadOutcome> Read(CallerLimits limits);

  const RequestHead& head() const { return head_; }
  RequestMessage& request() { return request_; }

  /// Calls `on_gone` once if the caller closes before StopWatching.
  void WatchCaller(std::function<void()> on_gone);
  void StopWatching();
  bool caller_gone() const { return caller_gone_; }

  /// Whether the caller has closed by now. The event that tells so may still wait
  /// behind others of a busy loop.
  bool CheckCallerGone();

  /// Each returns false when the caller can no longer be reached.
  net::awaitable<bool> Send(ResponseMessage answer, bool close_after);
  net::awaitable<bool> BeginStream(ResponseHead head, bool close_after);
  net::awaitable<bool> WriteChunk(std::string bytes);
  net::awaitable<bool> EndStream();

  /// Closes at once; a streamed answer cannot look whole afterwards.
  void Abort();

  /// Closes if no request is being read or answered.
  void CloseIfIdle();

  /// Whether the connection can carry another request.
  bool KeepsOpen() const { return socket_.is_open() && !close_after_ && !caller_gone_; }

 private:
  using Parser = http::request_parser<http::string_body>;

  explicit CallerConnection(tcp::socket socket);

  net::awaitable<bool> WaitForRequest(std::chrono::milliseconds idle_timeout);
  net::awaitable<ErrorCode> ReadHeadAndBody(Parser& parser, CallerLimits limits);
  net::awaitable<ErrorCode> SendContinue();
  void ArmLimit(std::chrono::milliseconds limit);
  void DisarmLimit();
  void OnReadable(const ErrorCode& error, std::uint64_t watch);
  void WatchAgainLater(std::uint64_t watch);
  void Close();

  tcp::socket socket_;
  Timer limit_timer_;
  Timer watch_timer_;
  boost::beast::flat_buffer buffer_;
  RequestHead head_;
  RequestMessage request_;
  std::function<void()> on_gone_;
  std::uint64_t watch_ = 0;
  std::uint64_t limit_generation_ = 0;
  bool watching_ = false;
  bool idle_ = false;
  bool timed_out_ = false;
  bool caller_gone_ = false;
  bool close_after_ = false;
};

}  // namespace ridgehold
