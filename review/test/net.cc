#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <sstream>

namespace review {
namespace {

constexpr int kBacklog = 256;
constexpr std::size_t kChunk = 65'536;

sockaddr_in AddressOf(const std::string& address, std::uint16_t port) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(port);
  inet_pton(AF_INET, address.c_str(), &result.sin_addr);
  return result;
}

std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Trim(const std::string& text) {
  const auto first = text.find_first_not_of(" \t\r");
  if (first == std::string::npos) return "";
  return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

Fields ParseFields(std::istringstream& lines) {
  Fields fields;
  for (std::string line; std::getline(lines, line);) {
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    fields[Lower(line.substr(0, colon))] = Trim(line.substr(colon + 1));
  }
  return fields;
}

std::string Find(const Fields& fields, const std::string& name) {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

bool Wait(int descriptor, short events, std::chrono::milliseconds limit) {
  pollfd poll_request{descriptor, events, 0};
  return ::poll(&poll_request, 1, static_cast<int>(std::max<long long>(limit.count(), 0))) > 0;
}

std::chrono::milliseconds Left(Clock::time_point until) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now());
}

}  // namespace

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    Close();
    descriptor_ = other.Release();
  }
  return *this;
}

int Socket::Release() {
  const int descriptor = descriptor_;
  descriptor_ = -1;
  return descriptor;
}

void Socket::Close() {
  if (descriptor_ >= 0) ::close(descriptor_);
  descriptor_ = -1;
}

void Socket::Reset() {
  if (descriptor_ < 0) return;
  const linger now{1, 0};
  ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  Close();
}

Socket Listen(const std::string& address, std::uint16_t port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in to = AddressOf(address, port);
  const bool bound = ::bind(socket.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
  if (!bound || ::listen(socket.get(), kBacklog) != 0) return {};
  return socket;
}

std::uint16_t PortOf(const Socket& socket) {
  sockaddr_in own{};
  socklen_t size = sizeof own;
  ::getsockname(socket.get(), reinterpret_cast<sockaddr*>(&own), &size);
  return ntohs(own.sin_port);
}

Socket Connect(const std::string& address, std::uint16_t port, std::chrono::milliseconds limit) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const sockaddr_in to = AddressOf(address, port);
  if (::connect(socket.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    if (errno != EINPROGRESS || !Wait(socket.get(), POLLOUT, limit)) return {};
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(socket.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return {};
  }
  ::fcntl(socket.get(), F_SETFL, ::fcntl(socket.get(), F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  ::setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

Socket Accept(const Socket& listener, std::chrono::milliseconds limit) {
  if (!Wait(listener.get(), POLLIN, limit)) return {};
  Socket socket(::accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
  const int on = 1;
  if (socket.valid()) ::setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

bool WriteAll(const Socket& socket, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const auto sent = ::send(socket.get(), bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (sent <= 0) return false;
    done += static_cast<std::size_t>(sent);
  }
  return true;
}

std::string ReadSome(const Socket& socket, std::chrono::milliseconds limit, bool& failed) {
  std::string bytes(kChunk, '\0');
  if (!Wait(socket.get(), POLLIN, limit)) {
    failed = true;
    return "";
  }
  const auto read = ::recv(socket.get(), bytes.data(), bytes.size(), 0);
  failed = read < 0;
  bytes.resize(read > 0 ? static_cast<std::size_t>(read) : 0);
  return bytes;
}

bool PeerHasClosed(const Socket& socket) {
  pollfd poll_request{socket.get(), POLLRDHUP, 0};
  return ::poll(&poll_request, 1, 0) > 0;
}

std::string Request::Field(const std::string& name) const { return Find(fields, name); }

std::string Head::Field(const std::string& name) const { return Find(fields, name); }

bool Reader::Fill(Clock::time_point until) {
  if (ended_) return false;
  const std::string bytes = ReadSome(socket_, Left(until), failed_);
  ended_ = bytes.empty();
  buffer_ += bytes;
  return !ended_;
}

bool Reader::TakeHead(std::string& head, Clock::time_point until) {
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(until)) return false;
  }
  head = buffer_.substr(0, end + 2);
  buffer_.erase(0, end + 4);
  return true;
}

std::optional<Request> Reader::ReadRequest(const Watch& watch) {
  std::string head;
  if (!TakeHead(head, Clock::now() + std::chrono::hours(1))) return std::nullopt;
  std::istringstream lines(head);
  Request request;
  std::string version;
  lines >> request.method >> request.target >> version;
  request.fields = ParseFields(lines);
  const std::string length = request.Field("content-length");
  const std::size_t body_bytes = length.empty() ? 0 : std::stoul(length);
  watch.on_head(request);
  while (buffer_.size() < body_bytes) {
    watch.before_part();
    if (!Fill(Clock::now() + std::chrono::hours(1))) return std::nullopt;
  }
  request.body = buffer_.substr(0, body_bytes);
  buffer_.erase(0, body_bytes);
  return request;
}

std::optional<Head> Reader::ReadHead(std::chrono::milliseconds limit) {
  std::string text;
  if (!TakeHead(text, Clock::now() + limit)) return std::nullopt;
  std::istringstream lines(text);
  Head head;
  std::string version;
  lines >> version >> head.status;
  head.fields = ParseFields(lines);
  return head;
}

Reader::End Reader::ReadBody(const Head& head, std::string& body, Clock::time_point until) {
  const auto broken = [&] { return Clock::now() >= until ? End::kTimedOut : End::kBroken; };
  if (Lower(head.Field("transfer-encoding")) == "chunked") {
    for (;;) {
      std::size_t line = 0;
      while ((line = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill(until)) return broken();
      }
      const std::size_t size = std::stoul(buffer_.substr(0, line), nullptr, 16);
      while (buffer_.size() < line + 2 + size + 2) {
        if (!Fill(until)) return broken();
      }
      body += buffer_.substr(line + 2, size);
      buffer_.erase(0, line + 2 + size + 2);
      if (size == 0) return End::kComplete;
    }
  }
  const std::string length = head.Field("content-length");
  if (length.empty()) {
    while (Fill(until)) continue;
    body += buffer_;
    buffer_.clear();
    return failed_ ? broken() : End::kComplete;
  }
  const std::size_t size = std::stoul(length);
  while (buffer_.size() < size) {
    if (!Fill(until)) break;
  }
  const bool whole = buffer_.size() >= size;
  body += buffer_.substr(0, size);
  buffer_.erase(0, size);
  return whole ? End::kComplete : broken();
}

}  // namespace review
