// Accepts client connections and serves the requests of each sequentially.

#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway/body_admission.h"
#include "gateway/caller_connection.h"
#include "gateway/error_response.h"
#include "gateway/exchange.h"
#include "gateway/gateway_state.h"
#include "gateway/wire_format.h"
#include "listener/connection_listener.h"
#include "log/duration_text.h"
#include "log/log.h"
#include "task/spawn.h"

namespace ridgehold {

/// Runs on one executor; must outlive its connections.
template <WireFormat Wire>
class CallerServer {
 public:
  /// Beyond `max_connections`, a new connection replaces the one that has been idle longest, or is
  /// closed if none is idle. This reserves file descriptors for backend servers.
  CallerServer(GatewayState& state, tcp::acceptor acceptor, std::size_t max_connections)
      : state_(state),
        listener_(std::move(acceptor), "callers"),
        max_connections_(max_connections),
        limits_(
            [&state] { return state.snapshot() ? state.snapshot()->limits() : CallerLimits(); }),
        admit_(BodyAdmission<Wire>(state)) {}

  void Start() {
    SpawnDuty(state_.executor(), "caller listener", [this] { return Accept(); });
  }

  /// Stops accepting connections.
  void Stop() { listener_.Close(); }

  /// Closes connections that have been idle for `idle_time`.
  void CloseIdle(std::chrono::milliseconds idle_time) {
    const auto open = connections_;
    for (const auto& [connection, exchange] : open) {
      if (const auto closed = connection->CloseIfIdle(idle_time)) {
        RecordSilentClose("shutdown", *closed);
      }
    }
  }

  /// Fails requests without a response; call when the state's response deadline has passed.
  void FailPending() {
    for (const auto& [connection, exchange] : connections_) {
      if (exchange) exchange->FailIfPending();
    }
  }

  std::size_t open_connections() const { return connections_.size(); }
  std::uint16_t port() const { return listener_.port(); }

 private:
  using ConnectionPtr = std::shared_ptr<CallerConnection>;
  using ExchangePtr = std::shared_ptr<Exchange<Wire>>;

  net::awaitable<void> Accept() {
    for (;;) {
      std::optional<tcp::socket> socket = co_await listener_.Accept();
      if (!socket) co_return;
      if (connections_.size() >= max_connections_ && !CloseLongestIdle()) {
        state_.metrics().GetCounter("ridgehold_connections_refused").Add();
        continue;
      }
      Spawn(state_.executor(), "caller connection",
            Serve(CallerConnection::Create(std::move(*socket))));
    }
  }

  /// Closes the connection that has been idle longest and has received no request. Returns whether
  /// there is one.
  bool CloseLongestIdle() {
    std::vector<std::pair<TimePoint, ConnectionPtr>> idle;
    for (const auto& [connection, exchange] : connections_) {
      const auto& since = connection->idle_since();
      if (since) idle.emplace_back(*since, connection);
    }
    std::ranges::sort(idle);
    for (const auto& [since, connection] : idle) {
      const auto closed = connection->CloseIfIdle();
      if (!closed) continue;
      RecordSilentClose("room_for_others", *closed);
      state_.metrics().GetCounter("ridgehold_idle_connections_replaced").Add();
      return true;
    }
    return false;
  }

  void RecordSilentClose(const char* reason, const SilentClose& closed) {
    state_.metrics()
        .GetCounter("ridgehold_connections_closed_silently",
                    fmt::format("reason=\"{}\",unread=\"{}\"", reason,
                                closed.unread_bytes > 0 ? "yes" : "no"))
        .Add();
    if (closed.unread_bytes == 0) return;
    Log(LogLevel::kWarn, "connection closed with unread bytes",
        {{"reason", reason},
         {"unread_bytes", std::to_string(closed.unread_bytes)},
         {"idle_ms", MillisecondsText(closed.idle)}});
  }

  /// Removes the connection whatever happens while it is served; a request that ends with an
  /// exception would otherwise count as in progress.
  net::awaitable<void> Serve(ConnectionPtr connection) {
    std::exception_ptr error;
    try {
      co_await ServeRequests(connection);
    } catch (...) {
      error = std::current_exception();
    }
    if (error) LogException("caller connection", error);
    connection->Abort();
    connections_.erase(connection);
  }

  net::awaitable<void> ServeRequests(ConnectionPtr connection) {
    ExchangePtr& exchange = connections_[connection];
    while (connection->CanServeAnother()) {
      const ReadOutcome outcome = co_await connection->Read(limits_, admit_);
      if (outcome.kind == ReadOutcome::Kind::kClosed) {
        if (const auto& closed = connection->closed_at_limit()) {
          RecordSilentClose("idle_limit", *closed);
        }
        break;
      }
      if (outcome.kind == ReadOutcome::Kind::kRefused) {
        co_await RefuseUnread(connection, outcome);
        break;
      }
      exchange = Exchange<Wire>::Create(state_, connection);
      co_await exchange->Run();
      exchange.reset();
      connection->ReleaseRequest();
    }
    if (connection->close_announced()) co_await connection->Linger();
  }

  net::awaitable<void> RefuseUnread(ConnectionPtr connection, ReadOutcome outcome) {
    const Failure& failure = outcome.failure;
    state_.metrics()
        .GetCounter("ridgehold_requests",
                    "code=\"" + std::string(Describe(failure.code).name) + "\"")
        .Add();
    if (MayLogUnread(outcome)) {
      Log(LogLevel::kWarn, "reading client request failed",
          {{"code", std::string(Describe(failure.code).name)},
           {"request", outcome.request.value()},
           {"detail", failure.detail}});
    }
    ResponseMessage answer = MakeErrorResponse(failure, outcome.request);
    co_await connection->Send(std::move(answer), true);
  }

  /// Requests that were decoded are always logged. Anyone can send others.
  bool MayLogUnread(const ReadOutcome& outcome) {
    constexpr std::chrono::milliseconds kInterval{1'000};
    if (!outcome.request.value().empty()) return true;
    const TimePoint now = Clock::now();
    if (now - unread_logged_at_ < kInterval) return false;
    unread_logged_at_ = now;
    return true;
  }

  GatewayState& state_;
  ConnectionListener listener_;
  std::size_t max_connections_;
  CallerConnection::LimitsSource limits_;
  CallerConnection::AdmitBody admit_;
  TimePoint unread_logged_at_{};  ///< when an unreadable request was logged last
  std::map<ConnectionPtr, ExchangePtr> connections_;  ///< with the exchange in progress, if any
};

}  // namespace ridgehold
