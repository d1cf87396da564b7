// Guards against a request body that is copied for each attempt, kept by idle connections, or
// changed while it is sent.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <thread>

#include "net/outbound_connection.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

// More than the sockets' buffers hold.
constexpr std::size_t kBodyBytes = std::size_t{32} << 20;

/// Answers one request before it has read the body, which it reads to the end then.
class EarlyServer {
 public:
  EarlyServer() : acceptor_(io_, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0)) {
    thread_ = std::thread([this] { Serve(); });
  }
  ~EarlyServer() { Join(); }

  void Join() {
    if (thread_.joinable()) thread_.join();
  }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  std::size_t unchanged_bytes() const { return unchanged_; }

 private:
  void Serve() {
    tcp::socket socket = acceptor_.accept();
    net::streambuf head;
    net::read_until(socket, head, "\r\n\r\n");
    net::write(socket, net::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
    const std::string text(net::buffers_begin(head.data()), net::buffers_end(head.data()));
    std::string body = text.substr(text.find("\r\n\r\n") + 4);
    std::string chunk(std::size_t{1} << 20, '\0');
    ErrorCode error;
    while (!error && body.size() < kBodyBytes) {
      body.append(chunk, 0, socket.read_some(net::buffer(chunk), error));
    }
    unchanged_ = static_cast<std::size_t>(std::count(body.begin(), body.end(), 'a'));
  }

  net::io_context io_;
  tcp::acceptor acceptor_;
  std::size_t unchanged_ = 0;
  std::thread thread_;
};

net::awaitable<void> SendAndReadHead(OutboundConnection& connection, tcp::endpoint endpoint,
                                     std::shared_ptr<const std::string> body) {
  const TimePoint deadline = Clock::now() + 2s;
  ExchangeFault fault = co_await connection.Connect(endpoint, deadline, 2s);
  BOOST_TEST((fault == ExchangeFault::kNone));
  RequestMessage head(http::verb::post, "/x", 11);
  head.content_length(body->size());
  connection.StartRequest(head, std::move(body));
  fault = co_await connection.ReadHead(deadline);
  BOOST_TEST((fault == ExchangeFault::kNone));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(outbound_body)

BOOST_AUTO_TEST_CASE(body_is_shared_until_it_is_sent_and_no_longer) {
  EarlyServer server;
  net::io_context io;
  const auto connection = OutboundConnection::Create(io.get_executor());
  auto body = std::make_shared<const std::string>(kBodyBytes, 'a');
  const std::weak_ptr<const std::string> watched = body;
  net::co_spawn(io, SendAndReadHead(*connection, server.endpoint(), std::move(body)),
                net::detached);
  io.run();
  server.Join();
  BOOST_TEST(server.unchanged_bytes() == kBodyBytes);
  BOOST_TEST(watched.expired());
}

BOOST_AUTO_TEST_SUITE_END()
