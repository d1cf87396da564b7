#include "net/connection_pool.h"

#include <algorithm>

namespace ridgehold {

net::awaitable<Checkout> ConnectionPool::Acquire(std::string address, TimePoint limit) {
  const TimePoint now = Clock::now();
  Checkout checkout;
  const auto found = idle_.find(address);
  while (found != idle_.end() && !found->second.empty()) {
    auto connection = std::move(found->second.back());
    found->second.pop_back();
    if (Expired(*connection, now) || !connection->IdleAndOpen()) continue;
    checkout.connection = std::move(connection);
    co_return checkout;
  }
  checkout.fresh = true;
  const tcp::endpoint endpoint = ParseEndpoint(address);
  if (endpoint.port() == 0) {
    checkout.fault = ExchangeFault::kNotSent;
    co_return checkout;
  }
  auto connection = OutboundConnection::Create(executor_);
  ++opened_;
  const TimePoint connect_by = std::min(limit, now + options_.connect_limit);
  checkout.fault =
      co_await connection->Connect(endpoint, connect_by, options_.unacknowledged_limit);
  if (checkout.fault == ExchangeFault::kNone) checkout.connection = std::move(connection);
  co_return checkout;
}

void ConnectionPool::Release(const std::string& address,
                             std::shared_ptr<OutboundConnection> connection) {
  if (!connection || !connection->Reusable()) return;
  Idle& idle = idle_[address];
  if (idle.size() >= options_.most_idle) return;
  connection->MarkIdle(Clock::now());
  idle.push_back(std::move(connection));
}

void ConnectionPool::Sweep(TimePoint now) {
  for (auto& [address, idle] : idle_) {
    std::erase_if(idle, [&](const auto& connection) {
      return Expired(*connection, now) || !connection->IdleAndOpen();
    });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

bool ConnectionPool::HasOpen(const std::string& address) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) return false;
  return std::ranges::any_of(found->second,
                             [](const auto& connection) { return connection->IdleAndOpen(); });
}

bool ConnectionPool::Expired(const OutboundConnection& connection, TimePoint now) const {
  auto limit = options_.idle_limit;
  if (const auto named = connection.keep_alive()) {
    const std::chrono::milliseconds usable = *named - options_.keep_alive_margin;
    limit = std::clamp(usable, std::chrono::milliseconds(0), options_.named_idle_limit);
  }
  return now - connection.idle_since() >= limit;
}

}  // namespace ridgehold
