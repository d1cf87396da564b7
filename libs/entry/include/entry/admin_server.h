// Answers the balancer's question for readiness and serves metrics and state.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/result.h"
#include "net/beast.h"

namespace ridgehold {

/// A page: status and text.
struct AdminPage {
  http::status status = http::status::ok;
  std::string content_type = "text/plain; version=0.0.4";
  std::string body;
};

/// Serves pages by path over HTTP/1.1, each made when asked for. Runs on one
/// executor until that ends.
class AdminServer {
 public:
  /// By path; each is given the query, without its question mark.
  using Pages = std::map<std::string, std::function<AdminPage(const std::string& query)>>;

  /// Listens on `address:port`. Fails with kInvalidSettings.
  static Result<std::unique_ptr<AdminServer>> Create(net::any_io_executor executor,
                                                     const std::string& address, Pages pages);

  /// The port it listens on.
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  AdminServer(tcp::acceptor acceptor, Pages pages)
      : acceptor_(std::move(acceptor)), pages_(std::move(pages)) {}

  net::awaitable<void> Accept();
  net::awaitable<void> Serve(tcp::socket socket);
  ResponseMessage Answer(const RequestMessage& request) const;

  tcp::acceptor acceptor_;
  Pages pages_;
};

/// Opens a listening socket on `address:port`. Fails with kInvalidSettings.
Result<tcp::acceptor> Listen(net::any_io_executor executor, const std::string& address);

}  // namespace ridgehold
