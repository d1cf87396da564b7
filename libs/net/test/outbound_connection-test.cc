// Guards against responses that are discarded because the event loop was held up beyond their
// deadline after they had come.

#include "net/outbound_connection.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  Fixture() : acceptor(loop, {net::ip::address_v4::loopback(), 0}), server(loop) {}

  void Call(std::chrono::milliseconds limit) {
    net::co_spawn(
        loop,
        [this, limit]() -> net::awaitable<void> {
          fault = co_await connection->Connect(acceptor.local_endpoint(), Clock::now() + 1s, 1s);
          if (*fault != ExchangeFault::kNone) co_return;
          fault.reset();
          connection->StartRequest(RequestMessage(http::verb::get, "/", 11));
          fault = co_await connection->ReadHead(Clock::now() + limit);
          while (*fault == ExchangeFault::kNone && !connection->BodyDone()) {
            fault = co_await connection->ReadBody(body, Clock::now());
          }
        },
        net::detached);
    while (!server.is_open()) {
      loop.poll();
      acceptor.non_blocking(true);
      ErrorCode ignored;
      acceptor.accept(server, ignored);
    }
    std::string request;
    while (request.find("\r\n\r\n") == std::string::npos) {
      loop.poll();
      std::string part(1'024, '\0');
      if (server.available() > 0) request += part.substr(0, server.read_some(net::buffer(part)));
    }
  }

  void HoldUp(std::chrono::milliseconds time) {
    net::post(loop, [time] { std::this_thread::sleep_for(time); });
  }

  net::io_context loop;
  tcp::acceptor acceptor;
  tcp::socket server;
  std::shared_ptr<OutboundConnection> connection = OutboundConnection::Create(loop.get_executor());
  std::optional<ExchangeFault> fault;
  std::string body;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(outbound_connection, Fixture)

BOOST_AUTO_TEST_CASE(a_response_that_came_in_time_is_read_by_a_late_loop) {
  Call(20ms);
  const std::string expected(100'000, 'b');
  net::write(server, net::buffer("HTTP/1.1 200 OK\r\nX-Long: " + std::string(5'000, 'h') +
                                 "\r\nContent-Length: 100000\r\n\r\n" + expected));
  HoldUp(60ms);
  loop.run_for(1s);
  BOOST_REQUIRE(fault.has_value());
  BOOST_TEST((*fault == ExchangeFault::kNone));
  BOOST_TEST((body == expected));
}

BOOST_AUTO_TEST_CASE(a_silent_server_meets_the_deadline) {
  Call(20ms);
  loop.run_for(1s);
  BOOST_REQUIRE(fault.has_value());
  BOOST_TEST((*fault == ExchangeFault::kTimedOut));
}

BOOST_AUTO_TEST_CASE(a_part_of_a_response_does_not_lift_the_deadline) {
  Call(20ms);
  net::write(server, net::buffer(std::string("HTTP/1.1 200 OK\r\nX-Long: ")));
  HoldUp(60ms);
  loop.run_for(1s);
  BOOST_REQUIRE(fault.has_value());
  BOOST_TEST((*fault == ExchangeFault::kTimedOut));
}

BOOST_AUTO_TEST_SUITE_END()
