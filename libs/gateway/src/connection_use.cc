#include "gateway/connection_use.h"

#include <algorithm>
#include <utility>

namespace ridgehold {

ConnectionUse::ConnectionUse(BackendPtr backend, std::shared_ptr<OutboundConnection> connection)
    : backend_(std::move(backend)), connection_(std::move(connection)) {
  backend_->connections_in_use.push_back(connection_.get());
}

ConnectionUse::~ConnectionUse() { std::erase(backend_->connections_in_use, connection_.get()); }

bool HasOpenUse(const Backend& backend) {
  return std::ranges::any_of(backend.connections_in_use, [](OutboundConnection* connection) {
    return !connection->EndedByServer();
  });
}

}  // namespace ridgehold
