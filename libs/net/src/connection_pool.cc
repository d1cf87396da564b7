#include "net/connection_pool.h"

#include <algorithm>
#include <vector>

namespace ridgehold {

tcp::endpoint ConnectionPool::EndpointOf(const std::string& address) const {
  tcp::endpoint endpoint = ParseEndpoint(address);
  if (egress_address_ && endpoint.port() != 0) endpoint.address(*egress_address_);
  return endpoint;
}

std::shared_ptr<OutboundConnection> ConnectionPool::AcquireIdle(const std::string& address) {
  const TimePoint now = Clock::now();
  const auto found = idle_.find(address);
  while (found != idle_.end() && !found->second.empty()) {
    auto connection = std::move(found->second.back());
    found->second.pop_back();
    const bool open = connection->IdleAndOpen();
    if (open && !Expired(*connection, now)) return connection;
    if (!open) NotifyClosed(address, *connection, now);
    connection->Discard();
  }
  return nullptr;
}

net::awaitable<Checkout> ConnectionPool::Acquire(std::string address, TimePoint deadline) {
  const TimePoint now = Clock::now();
  Checkout checkout;
  checkout.connection = AcquireIdle(address);
  if (checkout.connection) co_return checkout;
  checkout.fresh = true;
  const tcp::endpoint endpoint = EndpointOf(address);
  if (endpoint.port() == 0) {
    checkout.fault = ExchangeFault::kNotSent;
    co_return checkout;
  }
  auto connection = OutboundConnection::Create(executor_);
  ++opened_;
  const TimePoint connect_deadline = std::min(deadline, now + options_.connect_timeout);
  checkout.fault =
      co_await connection->Connect(endpoint, connect_deadline, options_.tcp_user_timeout);
  checkout.refused = connection->connection_refused();
  if (checkout.fault == ExchangeFault::kNone) checkout.connection = std::move(connection);
  co_return checkout;
}

void ConnectionPool::Release(const std::string& address,
                             std::shared_ptr<OutboundConnection> connection) {
  if (!connection) return;
  if (!connection->Reusable()) return connection->Discard();
  Idle& idle = idle_[address];
  if (idle.size() >= options_.max_idle_per_address) return connection->Discard();
  connection->MarkIdle(Clock::now());
  idle.push_back(std::move(connection));
}

void ConnectionPool::CloseExpired(TimePoint now) {
  for (auto& [address, idle] : idle_) {
    CloseEnded(address, idle, now);
    std::erase_if(idle, [&](const auto& connection) {
      const bool expired = Expired(*connection, now);
      if (expired) connection->Discard();
      return expired;
    });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

void ConnectionPool::CloseEnded(const std::string& address) {
  const auto found = idle_.find(address);
  if (found != idle_.end()) CloseEnded(address, found->second, Clock::now());
}

void ConnectionPool::CloseEnded(const std::string& address, Idle& idle, TimePoint now) {
  const auto ended = std::stable_partition(
      idle.begin(), idle.end(), [](const auto& connection) { return connection->IdleAndOpen(); });
  const std::vector<std::shared_ptr<OutboundConnection>> closed(ended, idle.end());
  idle.erase(ended, idle.end());
  for (const auto& connection : closed) {
    NotifyClosed(address, *connection, now);
    connection->Discard();
  }
}

void ConnectionPool::CloseIdle(const std::string& address) {
  const auto idle = idle_.extract(address);
  if (idle.empty()) return;
  for (const auto& connection : idle.mapped()) connection->Discard();
}

bool ConnectionPool::HasOpenConnection(const std::string& address) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) return false;
  return std::ranges::any_of(found->second,
                             [](const auto& connection) { return connection->IdleAndOpen(); });
}

void ConnectionPool::NotifyClosed(const std::string& address, OutboundConnection& connection,
                                  TimePoint now) {
  // A server that lives may reset a connection, or send bytes that no request asked for.
  if (!on_closed_ || connection.CheckIdle() != IdleState::kClosed) return;
  ClosedConnection closed;
  closed.opened_at = connection.opened_at();
  closed.idle_since = connection.idle_since();
  closed.closed_at = connection.ClosedAt(now);
  closed.keep_alive = connection.keep_alive();
  closed.others_open = HasOpenConnection(address);
  on_closed_(address, closed);
}

bool ConnectionPool::Expired(const OutboundConnection& connection, TimePoint now) const {
  auto max_idle = options_.idle_timeout;
  if (const auto keep_alive = connection.keep_alive()) {
    const std::chrono::milliseconds usable = *keep_alive - options_.keep_alive_margin;
    max_idle = std::clamp(usable, std::chrono::milliseconds(0), options_.max_keep_alive);
  }
  return now - connection.idle_since() >= max_idle;
}

}  // namespace ridgehold
