// Guards against connections that are closed as idle while their request is being read.

#include "gateway/caller_connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <thread>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  Fixture() : client(loop) {
    tcp::acceptor acceptor(loop, {net::ip::address_v4::loopback(), 0});
    client.connect(acceptor.local_endpoint());
    connection = CallerConnection::Create(acceptor.accept());
  }

  void Read() {
    net::co_spawn(loop, connection->Read(limits, admit),
                  [this](std::exception_ptr, ReadOutcome read) { outcome = std::move(read); });
  }
  void Send(const std::string& bytes) { net::write(client, net::buffer(bytes)); }

  net::io_context loop;
  tcp::socket client;
  std::shared_ptr<CallerConnection> connection;
  CallerLimits current;
  CallerConnection::LimitsSource limits = [this] { return current; };
  CallerConnection::AdmitBody admit;
  std::optional<ReadOutcome> outcome;
};

const std::string kRequest = "GET /a/b HTTP/1.1\r\nHost: h\r\n\r\n";

}  // namespace

BOOST_FIXTURE_TEST_SUITE(caller_connection, Fixture)

// Guards against a close, to make room or in a shutdown, between the read of a request's bytes and
// their handler.
BOOST_AUTO_TEST_CASE(a_connection_is_not_idle_while_its_request_is_read) {
  Read();
  loop.poll();
  Send(kRequest);
  while (!outcome && loop.run_one_for(1s) > 0) {
    if (outcome) break;
    BOOST_REQUIRE(!connection->CloseIfIdle());
  }
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST((outcome->kind == ReadOutcome::Kind::kRequest));
}

BOOST_AUTO_TEST_CASE(an_idle_connection_is_closed) {
  Read();
  loop.poll();
  const auto closed = connection->CloseIfIdle();
  BOOST_REQUIRE(closed.has_value());
  BOOST_TEST(closed->unread_bytes == 0U);
  loop.run_for(1s);
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST((outcome->kind == ReadOutcome::Kind::kClosed));
}

// Guards against limits of an earlier configuration for a request that comes after a change.
BOOST_AUTO_TEST_CASE(a_request_is_read_within_the_limits_in_force_when_it_comes) {
  Read();
  loop.poll();
  current.max_header_bytes = 100;
  Send("GET /a/b HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(200, 'x') + "\r\n\r\n");
  loop.run_for(1s);
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST((outcome->kind == ReadOutcome::Kind::kRefused));
  BOOST_TEST((outcome->failure.code == ResultCode::kHeaderTooLarge));
}

BOOST_AUTO_TEST_CASE(an_idle_connection_is_closed_at_its_limit) {
  current.idle_timeout = 50ms;
  Read();
  loop.run_for(1s);
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST((outcome->kind == ReadOutcome::Kind::kClosed));
  BOOST_TEST(connection->closed_at_limit().has_value());
}

// Guards against a request that is lost because it arrives between the decision to close an idle
// connection and the close: other handlers, which may take long, run in between.
BOOST_AUTO_TEST_CASE(a_request_is_read_until_its_connection_is_closed) {
  bool closed = false;
  for (int handlers = 0; !closed; ++handlers) {
    Fixture fixture;
    fixture.current.idle_timeout = 5ms;
    fixture.Read();
    fixture.loop.poll();
    std::this_thread::sleep_for(10ms);
    for (int i = 0; i < handlers; ++i) fixture.loop.poll_one();
    closed = fixture.outcome.has_value();
    if (closed) break;
    fixture.Send(kRequest);
    fixture.loop.run_for(1s);
    BOOST_REQUIRE(fixture.outcome.has_value());
    BOOST_TEST((fixture.outcome->kind == ReadOutcome::Kind::kRequest), handlers);
  }
}

BOOST_AUTO_TEST_CASE(a_slow_head_is_refused) {
  current.header_timeout = 50ms;
  Read();
  Send(kRequest.substr(0, kRequest.size() / 2));
  loop.run_for(1s);
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST((outcome->kind == ReadOutcome::Kind::kRefused));
  BOOST_TEST((outcome->failure.code == ResultCode::kRequestTooSlow));
}

BOOST_AUTO_TEST_SUITE_END()
