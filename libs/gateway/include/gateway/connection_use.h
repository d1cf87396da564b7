// Counts the connections to a backend server that are in use.

#pragma once

#include <memory>
#include <utility>

#include "gateway/backend_directory.h"

namespace ridgehold {

/// Counts one connection from construction to destruction.
class ConnectionUse {
 public:
  explicit ConnectionUse(BackendPtr backend) : backend_(std::move(backend)) {
    ++backend_->connections_in_use;
  }
  ~ConnectionUse() { --backend_->connections_in_use; }

  ConnectionUse(const ConnectionUse&) = delete;
  ConnectionUse& operator=(const ConnectionUse&) = delete;

 private:
  BackendPtr backend_;
};

}  // namespace ridgehold
