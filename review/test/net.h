// Blocking loopback sockets and HTTP/1.1 messages for the stand-ins of the review cases.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;

/// A file descriptor that is closed with its owner.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : descriptor_(descriptor) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept : descriptor_(other.Release()) {}
  Socket& operator=(Socket&& other) noexcept;

  int get() const { return descriptor_; }
  bool valid() const { return descriptor_ >= 0; }
  int Release();
  /// Closes in order, with FIN.
  void Close();
  /// Closes with RST.
  void Reset();

 private:
  int descriptor_ = -1;
};

/// Listens on `address:port`; an invalid socket if that fails. Port 0: any free one.
Socket Listen(const std::string& address, std::uint16_t port);
std::uint16_t PortOf(const Socket& socket);
/// Connects within `limit`.
Socket Connect(const std::string& address, std::uint16_t port, std::chrono::milliseconds limit);
/// Accepts one connection; waits for at most `limit`.
Socket Accept(const Socket& listener, std::chrono::milliseconds limit);

bool WriteAll(const Socket& socket, const std::string& bytes);
/// Reads some bytes; empty at the end, on an error (sets `failed`) or after `limit` (sets
/// `failed`).
std::string ReadSome(const Socket& socket, std::chrono::milliseconds limit, bool& failed);
/// Whether the peer has closed or reset the connection.
bool PeerHasClosed(const Socket& socket);

/// Header fields by lower-case name.
using Fields = std::map<std::string, std::string>;

struct Request {
  std::string method;
  std::string target;
  Fields fields;
  std::string body;

  std::string Field(const std::string& name) const;
};

/// The head of a response.
struct Head {
  int status = 0;
  Fields fields;

  std::string Field(const std::string& name) const;
};

/// Reads messages from one connection.
class Reader {
 public:
  explicit Reader(const Socket& socket) : socket_(socket) {}

  /// Told of the parts of a request as they come.
  struct Watch {
    std::function<void(const Request&)> on_head = [](const Request&) {};
    std::function<void()> before_part = [] {};  ///< before more of the body is read
  };
  /// Reads the next request with its body; nullopt at the end of the connection.
  std::optional<Request> ReadRequest(const Watch& watch);
  std::optional<Request> ReadRequest() { return ReadRequest(Watch()); }
  /// Reads the head of a response.
  std::optional<Head> ReadHead(std::chrono::milliseconds limit);

  /// How reading the body of a response ended.
  enum class End { kComplete, kBroken, kTimedOut };
  /// Appends the body that follows `head` to `body`.
  End ReadBody(const Head& head, std::string& body, Clock::time_point until);

 private:
  bool Fill(Clock::time_point until);
  bool TakeHead(std::string& head, Clock::time_point until);

  const Socket& socket_;
  std::string buffer_;
  bool ended_ = false;
  bool failed_ = false;
};

}  // namespace review
