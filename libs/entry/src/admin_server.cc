#include "entry/admin_server.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "log/log.h"
#include "net/listen.h"
#include "task/spawn.h"

namespace ridgehold {

Result<std::unique_ptr<AdminServer>> AdminServer::Create(net::any_io_executor executor,
                                                         const std::string& address, Pages pages,
                                                         DelayedPages delayed_pages) {
  BOOST_LEAF_AUTO(acceptor, Listen(executor, address));
  return std::unique_ptr<AdminServer>(
      new AdminServer(std::move(acceptor), std::move(pages), std::move(delayed_pages)));
}

void AdminServer::Start() {
  SpawnDuty(acceptor_.get_executor(), "admin listener", [this] { return Accept(); });
}

net::awaitable<void> AdminServer::Accept() {
  while (acceptor_.is_open()) {
    ErrorCode error;
    tcp::socket socket =
        co_await acceptor_.async_accept(net::redirect_error(net::use_awaitable, error));
    if (!error) {
      Spawn(acceptor_.get_executor(), "admin connection", Serve(std::move(socket)));
    } else if (error == net::error::operation_aborted) {
      co_return;
    }
  }
}

net::awaitable<void> AdminServer::Serve(tcp::socket socket) {
  boost::beast::flat_buffer buffer;
  ErrorCode error;
  while (!error) {
    RequestMessage request;
    co_await http::async_read(socket, buffer, request,
                              net::redirect_error(net::use_awaitable, error));
    if (error) break;
    if (request.method() == http::verb::connect && connect_handler_) {
      co_return co_await connect_handler_(std::move(socket), std::move(request));
    }
    ResponseMessage response = co_await Respond(request);
    http::response_serializer<http::string_body> serializer(response);
    co_await http::async_write(socket, serializer, net::redirect_error(net::use_awaitable, error));
    if (!response.keep_alive()) break;
  }
}

net::awaitable<AdminPage> AdminServer::MakePage(std::string path, std::string query) const {
  if (const auto page = pages_.find(path); page != pages_.end()) co_return page->second(query);
  const auto delayed = delayed_pages_.find(path);
  if (delayed == delayed_pages_.end()) {
    co_return AdminPage{http::status::not_found, "text/plain", "not found\n"};
  }
  AdminPage page = co_await delayed->second(std::move(query));
  co_return page;
}

net::awaitable<ResponseMessage> AdminServer::Respond(const RequestMessage& request) const {
  const std::string target(request.target());
  const std::size_t query_begin = target.find('?');
  std::string query = query_begin == std::string::npos ? "" : target.substr(query_begin + 1);
  AdminPage page = co_await MakePage(target.substr(0, query_begin), std::move(query));
  ResponseMessage response(page.status, request.version());
  response.set(http::field::content_type, page.content_type);
  response.keep_alive(request.keep_alive());
  response.body() = std::move(page.body);
  response.prepare_payload();
  co_return response;
}

}  // namespace ridgehold
