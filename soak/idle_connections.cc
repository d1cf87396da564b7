#include "idle_connections.h"

#include <utility>

namespace ridgehold::soak {

int IdleConnections::Open(std::uint16_t port, int count) {
  const tcp::endpoint endpoint(net::ip::make_address(address_), port);
  int begun = 0;
  for (int i = 0; i < count; ++i) {
    tcp::socket socket(executor_);
    ErrorCode error;
    socket.open(tcp::v4(), error);
    if (error) break;
    // A connection that finds the queue of the port full stays in progress.
    socket.non_blocking(true, error);
    socket.connect(endpoint, error);
    if (error && error != net::error::in_progress) continue;
    sockets_.push_back(std::move(socket));
    ++begun;
  }
  return begun;
}

}  // namespace ridgehold::soak
