// HTTP server for readiness checks, metrics and state.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/result.h"
#include "listener/connection_listener.h"
#include "listener/port_sessions.h"
#include "net/beast.h"

namespace ridgehold {

/// Response to a request for one path.
struct AdminPage {
  http::status status = http::status::ok;
  std::string content_type = "text/plain; version=0.0.4";
  std::string body;
};

/// Serves pages by path over HTTP/1.1, generated on each request. Runs on one executor until that
/// stops.
class AdminServer {
 public:
  /// Page handlers by path. Each receives the query string without its question mark.
  using Pages = std::map<std::string, std::function<AdminPage(const std::string& query)>>;
  /// The same for pages that may take some time.
  using DelayedPages =
      std::map<std::string, std::function<net::awaitable<AdminPage>(std::string query)>>;

  /// Takes over a connection on which a CONNECT request was received.
  using ConnectHandler = std::function<net::awaitable<void>(tcp::socket, RequestMessage)>;
  /// Without a handler, CONNECT is answered with 404.
  void SetConnectHandler(ConnectHandler handler) { connect_handler_ = std::move(handler); }

  /// Listens on `address:port`. Fails as Listen() does.
  static Result<std::unique_ptr<AdminServer>> Create(net::any_io_executor executor,
                                                     const std::string& address, Pages pages,
                                                     DelayedPages delayed_pages = {},
                                                     PortLimits limits = {});

  /// Accepts connections from now on.
  void Start();

  /// Closes connections whose clients have exceeded their time. To be called regularly.
  void CloseExpired(TimePoint now) { sessions_.CloseExpired(now); }

  std::uint16_t port() const { return listener_.port(); }
  /// Number of connections closed so far to make room for new ones.
  std::uint64_t replaced_connections() const { return sessions_.replaced(); }

 private:
  AdminServer(ConnectionListener listener, Pages pages, DelayedPages delayed_pages,
              PortLimits limits)
      : listener_(std::move(listener)),
        sessions_(limits),
        pages_(std::move(pages)),
        delayed_pages_(std::move(delayed_pages)) {}

  net::awaitable<void> Accept();
  net::awaitable<void> Serve(std::shared_ptr<PortSession> session);
  static net::awaitable<void> Refuse(PortSession& session, const Failure& failure);
  net::awaitable<ResponseMessage> Respond(const RequestMessage& request) const;
  net::awaitable<AdminPage> MakePage(std::string path, std::string query) const;

  ConnectionListener listener_;
  PortSessions sessions_;
  Pages pages_;
  DelayedPages delayed_pages_;
  ConnectHandler connect_handler_;
};

}  // namespace ridgehold
