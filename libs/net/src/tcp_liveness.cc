#include "net/tcp_liveness.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace ridgehold {
namespace {

void SetOption(tcp::socket& socket, int level, int option, int value) {
  ::setsockopt(socket.native_handle(), level, option, &value, sizeof value);
}

}  // namespace

void Apply(const TcpLiveness& liveness, tcp::socket& socket) {
  ErrorCode ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(liveness.user_timeout.count()));
  if (!liveness.keep_alive) return;
  const int interval = static_cast<int>(liveness.keep_alive->count());
  socket.set_option(net::socket_base::keep_alive(true), ignored);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, interval);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, interval);
}

}  // namespace ridgehold
