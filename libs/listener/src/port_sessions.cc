#include "listener/port_sessions.h"

namespace ridgehold {

std::shared_ptr<PortSession> PortSessions::Add(tcp::socket socket, TimePoint now) {
  RemoveClosed();
  if (sessions_.size() >= limits_.max_connections && !CloseLongestWaiting()) return nullptr;
  auto session = std::make_shared<PortSession>(std::move(socket), now);
  sessions_.push_back(session);
  return session;
}

void PortSessions::CloseExpired(TimePoint now) {
  for (const auto& weak : sessions_) {
    const auto session = weak.lock();
    if (!session || !session->waiting_since()) continue;
    const bool expired = now - *session->waiting_since() >= limits_.client_timeout;
    // What has arrived is handled first, also if the event loop is late.
    if (expired && !session->HasUnreadRequest()) session->Close();
  }
  RemoveClosed();
}

std::size_t PortSessions::open_sessions() {
  RemoveClosed();
  return sessions_.size();
}

void PortSessions::RemoveClosed() {
  std::erase_if(sessions_, [](const auto& weak) {
    const auto session = weak.lock();
    return !session || !session->open();
  });
}

bool PortSessions::CloseLongestWaiting() {
  std::shared_ptr<PortSession> longest;
  for (const auto& weak : sessions_) {
    auto session = weak.lock();
    if (!session || !session->waiting_since() || session->HasUnreadRequest()) continue;
    if (!longest || *session->waiting_since() < *longest->waiting_since()) {
      longest = std::move(session);
    }
  }
  if (!longest) return false;
  longest->Close();
  RemoveClosed();
  ++replaced_;
  return true;
}

}  // namespace ridgehold
