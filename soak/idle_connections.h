// Connections that send nothing.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "net/beast.h"

namespace ridgehold::soak {

/// Connections to the ports of one address, open as long as this object lives.
class IdleConnections {
 public:
  IdleConnections(net::any_io_executor executor, std::string address)
      : executor_(std::move(executor)), address_(std::move(address)) {}

  /// Opens up to `count` connections without waiting for them; returns how many were begun.
  int Open(std::uint16_t port, int count);

 private:
  net::any_io_executor executor_;
  std::string address_;
  std::vector<tcp::socket> sockets_;
};

}  // namespace ridgehold::soak
