#include "kept_caller.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <limits>
#include <sstream>
#include <utility>

#include "bounds.h"
#include "platform/names.h"
#include "request_draw.h"

namespace ridgehold::soak {
namespace {

constexpr std::chrono::milliseconds kConnectPause{30};
/// How often a request's time limit is looked at.
constexpr std::chrono::milliseconds kLook{50};
/// The rules give an answer half a second past the route's time limit.
constexpr std::chrono::milliseconds kAnswerLimit = kRouteTimeout + std::chrono::milliseconds{500};
constexpr double kLongPausePart = 0.6;
constexpr int kLongestShortPause = 200;  // ms
constexpr int kFirstFinalStatus = 200;

/// Ends a read that takes too long.
struct ReadLimit {
  bool done = false;
  bool expired = false;
};

net::awaitable<void> EndLateRead(std::shared_ptr<tcp::socket> socket,
                                 std::shared_ptr<ReadLimit> limit, const InstanceProcess& instance,
                                 TimePoint sent) {
  while (!limit->done) {
    co_await Sleep(kLook);
    // The time does not count while the process is stopped.
    const TimePoint begun = std::max(sent, instance.undisturbed_since());
    if (limit->done || instance.stopped() || Clock::now() < begun + kAnswerLimit) continue;
    limit->expired = limit->done = true;
    ErrorCode ignored;
    socket->close(ignored);
  }
}

/// Whether the other side has not closed the connection, and nothing is to be read.
bool IsOpen(tcp::socket& socket) {
  char byte = 0;
  const auto bytes = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return bytes < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// When the kernel received the last bytes, however late they were read; the beginning of a
/// connection without any.
TimePoint LastReceived(tcp::socket& socket) {
  const TimePoint now = Clock::now();
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return now;
  return now - std::chrono::milliseconds(info.tcpi_last_data_recv);
}

std::chrono::milliseconds ToMilliseconds(Clock::duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

}  // namespace

struct KeptCaller::Connection {
  std::shared_ptr<tcp::socket> socket;
  boost::beast::flat_buffer buffer;
  int process = 0;    ///< serial number
  bool used = false;  ///< a request was sent on it
};

net::awaitable<void> KeptCaller::Run() {
  const auto self = shared_from_this();
  while (!stopping_) {
    co_await UseConnection();
    co_await Sleep(kConnectPause);
  }
}

std::chrono::milliseconds KeptCaller::DrawPause() {
  if (!random_.Chance(kLongPausePart)) return random_.Milliseconds(1, kLongestShortPause);
  const auto longest = operator_.idle_limits().LongestIdleTime(
      Clock::now(), instance_.stopped() ? Clock::now() : instance_.undisturbed_since());
  const int most = static_cast<int>(longest.count());
  return random_.Milliseconds(most / 2, most);
}

net::awaitable<void> KeptCaller::UseConnection() {
  Connection connection;
  connection.socket = std::make_shared<tcp::socket>(co_await net::this_coro::executor);
  connection.process = instance_.serial();
  const std::string address = instance_.place().address + ":" + std::to_string(kCallerPort);
  ErrorCode error;
  co_await connection.socket->async_connect(ParseEndpoint(address),
                                            net::redirect_error(net::use_awaitable, error));
  // Another process may have taken the connection than the one that ran before.
  bool kept = !error && connection.process == instance_.serial();
  while (kept && !stopping_) {
    kept = co_await Ask(connection);
    if (kept) co_await Sleep(DrawPause());
  }
}

net::awaitable<bool> KeptCaller::Ask(Connection& connection) {
  KeptRequest request;
  request.id = name_ + "-" + std::to_string(++sent_);
  RequestRecord record = DrawRequest(request.id, operator_, connection.process, random_);
  std::ostringstream text;
  text << record.message;
  const std::string bytes = text.str();
  // The connection is looked at and used without a pause between.
  if (!IsOpen(*connection.socket)) {
    check_.ClosedWhileIdle();
    co_return false;
  }
  const TimePoint idle_since = LastReceived(*connection.socket);
  request.first = !std::exchange(connection.used, true);
  record.sent = Clock::now();
  ledger_.Sent(std::move(record));
  ErrorCode error;
  net::write(*connection.socket, net::buffer(bytes), error);
  const TimePoint sent = Clock::now();
  request.idle = ToMilliseconds(sent - idle_since);
  const TimePoint undisturbed_since = instance_.stopped() ? sent : instance_.undisturbed_since();
  request.within_limits = operator_.idle_limits().AllowIdling(idle_since, sent, undisturbed_since);
  co_return co_await ReadAnswer(connection, std::move(request), sent);
}

net::awaitable<bool> KeptCaller::ReadAnswer(Connection& connection, KeptRequest request,
                                            TimePoint sent) {
  const auto limit = std::make_shared<ReadLimit>();
  net::co_spawn(co_await net::this_coro::executor,
                EndLateRead(connection.socket, limit, instance_, sent), net::detached);
  ErrorCode error;
  std::optional<http::response_parser<http::string_body>> parser;
  do {
    parser.emplace();
    parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    co_await http::async_read(*connection.socket, connection.buffer, *parser,
                              net::redirect_error(net::use_awaitable, error));
    // Interim responses precede the answer.
  } while (!error && parser->get().result_int() < kFirstFinalStatus);
  limit->done = true;
  CallerView view;
  if (parser->is_header_done()) view.status = static_cast<int>(parser->get().result_int());
  view.whole = parser->is_done();
  view.gave_up = limit->expired;
  view.signature = std::string(parser->get()[platform::field::kSignature]);
  view.body = parser->get().body();
  view.bytes_after = connection.buffer.size();
  ledger_.Ended(request.id, view);
  const bool nothing = !parser->got_some() && connection.buffer.size() == 0;
  request.taken = ToMilliseconds(Clock::now() - sent);
  request.killed = instance_.WasKilled(connection.process);
  request.told_to_end = instance_.WasToldToEnd(connection.process);
  request.ran = ledger_.HasRun(request.id);
  request.reset = error == net::error::connection_reset;
  request.unanswered = limit->expired && !parser->is_header_done();
  request.closed = error && nothing && !limit->expired;
  check_.Ended(request);
  co_return !error && parser->get().keep_alive() && !parser->need_eof();
}

}  // namespace ridgehold::soak
