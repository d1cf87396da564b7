// Holds a port that an instance needs.

#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <string>

#include "net/beast.h"

namespace ridgehold::soak {

enum class Transport { kTcp, kUdp };

/// Another socket that listens at a port as long as it lives. It answers nothing.
class PortHolder {
 public:
  /// `held()` is false if the port is taken already.
  PortHolder(const net::any_io_executor& executor, const std::string& address, std::uint16_t port,
             Transport transport)
      : acceptor_(executor), socket_(executor) {
    const auto host = net::ip::make_address(address);
    ErrorCode error;
    if (transport == Transport::kTcp) {
      acceptor_.open(tcp::v4(), error);
      // Connections of the process before may still be in TIME_WAIT.
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
      acceptor_.bind({host, port}, error);
      if (!error) acceptor_.listen(tcp::acceptor::max_listen_connections, error);
    } else {
      socket_.open(net::ip::udp::v4(), error);
      socket_.bind({host, port}, error);
    }
    held_ = !error;
  }

  bool held() const { return held_; }

 private:
  tcp::acceptor acceptor_;
  net::ip::udp::socket socket_;
  bool held_ = false;
};

}  // namespace ridgehold::soak
