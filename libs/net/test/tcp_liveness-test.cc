#include "net/tcp_liveness.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "net/connection_pool.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

int OptionOf(tcp::socket& socket, int level, int option) {
  int value = 0;
  socklen_t size = sizeof value;
  ::getsockopt(socket.native_handle(), level, option, &value, &size);
  return value;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(tcp_liveness)

// Guards against keep-alive probes that give up on a server that is silent for a second: the user
// timeout decides, whatever the number of probes.
BOOST_AUTO_TEST_CASE(user_timeout_outlasts_a_short_silence) {
  constexpr auto kShortSilence = 1'500ms;
  BOOST_TEST((ConnectionPool::Options().tcp_user_timeout > kShortSilence));
  BOOST_TEST((TcpLiveness().user_timeout > kShortSilence));
}

BOOST_AUTO_TEST_CASE(options_are_set_on_the_socket) {
  net::io_context io;
  tcp::socket socket(io, tcp::v4());
  Apply({2'500ms, 1s}, socket);
  BOOST_TEST(OptionOf(socket, IPPROTO_TCP, TCP_USER_TIMEOUT) == 2'500);
  BOOST_TEST(OptionOf(socket, SOL_SOCKET, SO_KEEPALIVE) == 1);
  BOOST_TEST(OptionOf(socket, IPPROTO_TCP, TCP_KEEPIDLE) == 1);
  BOOST_TEST(OptionOf(socket, IPPROTO_TCP, TCP_KEEPINTVL) == 1);
  BOOST_TEST(OptionOf(socket, IPPROTO_TCP, TCP_NODELAY) == 1);
}

BOOST_AUTO_TEST_CASE(no_keep_alive_unless_requested) {
  net::io_context io;
  tcp::socket socket(io, tcp::v4());
  Apply({2'500ms, std::nullopt}, socket);
  BOOST_TEST(OptionOf(socket, SOL_SOCKET, SO_KEEPALIVE) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
