// Guards against connections that carry nothing and keep a port's clients out.

#include "listener/port_sessions.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  std::shared_ptr<PortSession> Add(TimePoint now) {
    tcp::socket socket(io);
    socket.open(tcp::v4());
    return sessions.Add(std::move(socket), now);
  }

  net::io_context io;
  PortSessions sessions{PortLimits{.max_connections = 2, .client_timeout = 30s}};
  const TimePoint start{1h};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(port_sessions, Fixture)

BOOST_AUTO_TEST_CASE(new_connection_replaces_the_one_that_waited_longest) {
  const auto first = Add(start);
  const auto second = Add(start + 1s);
  first->AwaitClient(start + 2s);
  const auto third = Add(start + 3s);
  BOOST_TEST(first->open());
  BOOST_TEST(!second->open());
  BOOST_TEST(third->open());
  BOOST_TEST(sessions.open_sessions() == 2U);
}

// Guards against an answer that is broken off for the sake of a new connection.
BOOST_AUTO_TEST_CASE(sessions_with_a_response_in_progress_are_kept) {
  const auto first = Add(start);
  const auto second = Add(start);
  first->BeginResponse();
  second->BeginResponse();
  BOOST_TEST(!Add(start + 60s));
  sessions.CloseExpired(start + 60s);
  BOOST_TEST(first->open());
  BOOST_TEST(second->open());
}

BOOST_AUTO_TEST_CASE(client_that_exceeds_its_time_is_closed) {
  const auto idle = Add(start);
  const auto active = Add(start);
  active->AwaitClient(start + 10s);
  sessions.CloseExpired(start + 29s);
  BOOST_TEST(idle->open());
  sessions.CloseExpired(start + 30s);
  BOOST_TEST(!idle->open());
  BOOST_TEST(active->open());
}

// Guards against questions that are lost because the time of their connection is up, or because it
// is the one that has waited longest, by the time that they are noticed.
BOOST_AUTO_TEST_CASE(sessions_with_unread_bytes_are_kept) {
  tcp::acceptor acceptor(io, {net::ip::address_v4::loopback(), 0});
  tcp::socket client(io);
  client.connect(acceptor.local_endpoint());
  const auto asked = sessions.Add(acceptor.accept(), start);
  net::write(client, net::buffer(std::string("GET /readyz HTTP/1.1")));
  asked->socket().wait(tcp::socket::wait_read);
  const auto idle = Add(start + 1s);
  sessions.CloseExpired(start + 60s);
  BOOST_TEST(asked->open());
  BOOST_TEST(!idle->open());
  const auto second = Add(start + 60s);
  const auto third = Add(start + 61s);
  BOOST_TEST(asked->open());
  BOOST_TEST(!second->open());
  BOOST_TEST(third->open());
}

// Guards against clients that send further requests, read no response and so use up the port.
BOOST_AUTO_TEST_CASE(sessions_whose_client_reads_no_response_are_closed) {
  tcp::acceptor acceptor(io, {net::ip::address_v4::loopback(), 0});
  tcp::socket client(io);
  client.connect(acceptor.local_endpoint());
  const auto first = sessions.Add(acceptor.accept(), start);
  net::write(client, net::buffer(std::string("GET /readyz HTTP/1.1")));
  first->socket().wait(tcp::socket::wait_read);
  first->AwaitDelivery(start);
  const auto second = Add(start + 1s);
  const auto third = Add(start + 2s);
  BOOST_TEST(!first->open());
  BOOST_TEST(second->open());
  client.close();
  client.connect(acceptor.local_endpoint());
  PortSessions others{PortLimits{.max_connections = 2, .client_timeout = 30s}};
  const auto last = others.Add(acceptor.accept(), start);
  net::write(client, net::buffer(std::string("GET /readyz HTTP/1.1")));
  last->socket().wait(tcp::socket::wait_read);
  last->AwaitDelivery(start);
  others.CloseExpired(start + 30s);
  BOOST_TEST(!last->open());
}

BOOST_AUTO_TEST_CASE(ended_sessions_leave_room) {
  for (int i = 0; i < 5; ++i) BOOST_TEST(Add(start) != nullptr);
  BOOST_TEST(sessions.open_sessions() == 0U);
  BOOST_TEST(sessions.replaced() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
