#include "entry/admin_server.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/listen.h"
#include "net/read_buffer.h"
#include "net/request_framing.h"
#include "task/spawn.h"

namespace ridgehold {
namespace {

// Requests to these ports have no body to speak of.
constexpr std::size_t kMaxBodyBytes = std::size_t{16} << 10;
constexpr unsigned kHttp11 = 11;
constexpr std::size_t kMaxUnparsedBytes = std::size_t{16} << 10;

}  // namespace

Result<std::unique_ptr<AdminServer>> AdminServer::Create(net::any_io_executor executor,
                                                         const std::string& address, Pages pages,
                                                         DelayedPages delayed_pages,
                                                         PortLimits limits) {
  BOOST_LEAF_AUTO(acceptor, Listen(executor, address));
  ConnectionListener listener(std::move(acceptor), address);
  return std::unique_ptr<AdminServer>(
      new AdminServer(std::move(listener), std::move(pages), std::move(delayed_pages), limits));
}

void AdminServer::Start() {
  SpawnDuty(listener_.get_executor(), "admin listener", [this] { return Accept(); });
}

net::awaitable<void> AdminServer::Accept() {
  for (;;) {
    std::optional<tcp::socket> socket = co_await listener_.Accept();
    if (!socket) co_return;
    auto session = sessions_.Add(std::move(*socket), Clock::now());
    if (!session) continue;
    Spawn(listener_.get_executor(), "admin connection", Serve(std::move(session)));
  }
}

net::awaitable<void> AdminServer::Serve(std::shared_ptr<PortSession> session) {
  ReadBuffer buffer(listener_.get_executor(), kMaxUnparsedBytes);
  ErrorCode error;
  while (!error) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    if (buffer.size() == 0) {
      co_await session->socket().async_wait(tcp::socket::wait_read,
                                            net::redirect_error(net::use_awaitable, error));
      // A request that has begun to arrive is no longer the one that has been waited for longest.
      session->AwaitClient(Clock::now());
    }
    if (error) break;
    co_await http::async_read_header(session->socket(), buffer, parser,
                                     net::redirect_error(net::use_awaitable, error));
    if (error) break;
    if (const auto failure = FramingFailure(parser.get(), parser.chunked())) {
      co_await Refuse(*session, *failure);
      break;
    }
    if (!parser.is_done()) {
      co_await http::async_read(session->socket(), buffer, parser,
                                net::redirect_error(net::use_awaitable, error));
    }
    if (error) break;
    session->BeginResponse();
    RequestMessage request = parser.release();
    if (request.method() == http::verb::connect && connect_handler_) {
      // The tunnels have a limit of their own.
      tcp::socket socket = std::move(session->socket());
      session.reset();
      co_return co_await connect_handler_(std::move(socket), std::move(request));
    }
    ResponseMessage response = co_await Respond(request);
    session->AwaitDelivery(Clock::now());
    http::response_serializer<http::string_body> serializer(response);
    co_await http::async_write(session->socket(), serializer,
                               net::redirect_error(net::use_awaitable, error));
    if (!response.keep_alive()) break;
    session->AwaitClient(Clock::now());
  }
}

net::awaitable<void> AdminServer::Refuse(PortSession& session, const Failure& failure) {
  session.BeginResponse();
  session.AwaitDelivery(Clock::now());
  ResponseMessage response(static_cast<http::status>(Describe(failure.code).http_status), kHttp11);
  response.set(http::field::content_type, "text/plain");
  response.keep_alive(false);
  response.body() = failure.detail + "\n";
  response.prepare_payload();
  ErrorCode ignored;
  http::response_serializer<http::string_body> serializer(response);
  co_await http::async_write(session.socket(), serializer,
                             net::redirect_error(net::use_awaitable, ignored));
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
