// Guards against connections that carry nothing and keep a port's clients out.

#include "listener/port_sessions.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

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

BOOST_AUTO_TEST_CASE(ended_sessions_leave_room) {
  for (int i = 0; i < 5; ++i) BOOST_TEST(Add(start) != nullptr);
  BOOST_TEST(sessions.open_sessions() == 0U);
  BOOST_TEST(sessions.replaced() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
