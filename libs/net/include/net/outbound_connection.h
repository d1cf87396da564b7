// One HTTP/1.1 connection to a backend server or to the platform's store.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "base/ids.h"
#include "net/beast.h"
#include "net/timer.h"

namespace ridgehold {

/// How one exchange on a connection ended.
enum class ExchangeFault : std::uint8_t {
  kNone,       ///< the answer is complete
  kNotSent,    ///< not one byte of the request left this process
  kBroken,     ///< the connection ended, or what came is no answer
  kTimedOut,   ///< the time limit passed
  kCancelled,  ///< ended by this side
};

/// Carries one request at a time and never sends one twice. All calls come
/// from one executor. Not copied; kept alive by its pending operations.
class OutboundConnection : public std::enable_shared_from_this<OutboundConnection> {
 public:
  /// An answer's later, unwanted copies are skipped up to this number.
  static constexpr int kMostForeignAnswers = 2;

  static std::shared_ptr<OutboundConnection> Create(net::any_io_executor executor);

  /// Connects; `unacknowledged_limit` is how long sent bytes may stay
  /// unacknowledged before the kernel ends the connection.
  net::awaitable<ExchangeFault> Connect(tcp::endpoint endpoint, TimePoint limit,
                                        std::chrono::milliseconds unacknowledged_limit);

  /// Begins to send `request`. Reading may start at once: a server may answer
  /// before it has read everything.
  void StartRequest(const RequestMessage& request);

  /// Reads the head of the next answer; interim (1xx) answers are skipped.
  net::awaitable<ExchangeFault> ReadHead(TimePoint limit);

  /// The head that ReadHead has read.
  const ResponseHead& head() const { return parser_->get().base(); }

  /// Appends what has arrived of the body to `out`. Waits for at least one byte or
  /// for the end, which `BodyDone` then tells.
  net::awaitable<ExchangeFault> ReadBody(std::string& out, TimePoint limit);

  /// Reads the rest of the body, at most `most_bytes`.
  net::awaitable<ExchangeFault> ReadWholeBody(std::string& out, std::size_t most_bytes,
                                              TimePoint limit);

  /// Whether the address answered the last Connect with a refusal: nothing listens
  /// there, so the process that did is gone.
  bool refused() const { return refused_; }

  bool BodyDone() const { return parser_ && parser_->is_done(); }

  /// Ends the running operation; it reports kCancelled.
  void Cancel();

  /// Whether closing, or the end of the process, drops what the other side has
  /// not acknowledged. Else the kernel goes on sending it, and a request or an
  /// order that was given up may arrive a second later.
  void ResetOnClose(bool reset);

  /// Whether the last exchange left the connection fit for another: whole
  /// request sent, whole answer read, nothing behind it, and kept by the server.
  bool Reusable() const;

  /// Whether an idle connection is still open and silent.
  bool IdleAndOpen();

  TimePoint idle_since() const { return idle_since_; }
  void MarkIdle(TimePoint now) { idle_since_ = now; }

  /// The last answer's own idle limit, if it named one.
  std::optional<std::chrono::seconds> keep_alive() const { return keep_alive_; }

 private:
  using Parser = http::response_parser<http::buffer_body>;

  explicit OutboundConnection(net::any_io_executor executor);

  void ArmLimit(TimePoint limit);
  void OnWritten(const ErrorCode& error, std::size_t bytes);
  ExchangeFault FaultAfter(const ErrorCode& error) const;
  void TakeHeadFields();
  void Close();

  tcp::socket socket_;
  Timer limit_timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::string outgoing_;
  std::size_t written_ = 0;
  bool write_done_ = true;
  bool write_failed_ = false;
  bool timed_out_ = false;
  bool cancelled_ = false;
  bool broken_ = false;
  bool refused_ = false;
  std::uint64_t limit_generation_ = 0;
  TimePoint idle_since_{};
  std::optional<std::chrono::seconds> keep_alive_;
};

}  // namespace ridgehold
