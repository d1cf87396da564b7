// Registers a connection to a backend server as in use.

#pragma once

#include <memory>

#include "gateway/backend_directory.h"
#include "net/outbound_connection.h"

namespace ridgehold {

/// A connection is in use from construction to destruction.
class ConnectionUse {
 public:
  ConnectionUse(BackendPtr backend, std::shared_ptr<OutboundConnection> connection);
  ~ConnectionUse();

  ConnectionUse(const ConnectionUse&) = delete;
  ConnectionUse& operator=(const ConnectionUse&) = delete;

 private:
  BackendPtr backend_;
  std::shared_ptr<OutboundConnection> connection_;
};

/// Whether one of the direct connections in use to the backend server has not ended.
bool HasOpenUse(const Backend& backend);

}  // namespace ridgehold
