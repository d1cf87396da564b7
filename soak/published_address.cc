// Linked into the instances' program: where the soak says so, sockets bind an address of their own
// in the place of the one that the instance publishes. A proxy listens at that one.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cstdlib>

#include "published_address.h"

namespace {

using ridgehold::soak::kBoundAddressVariable;
using ridgehold::soak::kPublishedAddressVariable;

/// Returns an address in network byte order; 0 if the variable is not set.
in_addr_t AddressIn(const char* variable) {
  const char* const text = std::getenv(variable);
  return text == nullptr ? 0 : ::inet_addr(text);
}

const sockaddr_in* Ipv4(const sockaddr* address, socklen_t size) {
  const bool fits = size >= sizeof(sockaddr_in) && address->sa_family == AF_INET;
  return fits ? reinterpret_cast<const sockaddr_in*>(address) : nullptr;
}

int SystemBind(int socket, const sockaddr* address, socklen_t size) {
  return static_cast<int>(::syscall(SYS_bind, socket, address, size));
}

/// Tells the proxy of a peer who connects. Servers and the store are at 127.0.0.1.
void BindSource(int socket, const sockaddr_in& target) {
  const in_addr_t own = AddressIn(kBoundAddressVariable);
  if (own == 0 || target.sin_addr.s_addr == ::htonl(INADDR_LOOPBACK)) return;
  sockaddr_in source{};
  socklen_t size = sizeof(source);
  const int known = ::getsockname(socket, reinterpret_cast<sockaddr*>(&source), &size);
  if (known != 0 || source.sin_port != 0) return;
  source.sin_family = AF_INET;
  source.sin_addr.s_addr = own;
  SystemBind(socket, reinterpret_cast<const sockaddr*>(&source), sizeof(source));
}

}  // namespace

/// These take the place of the C library's.
extern "C" int bind(int socket, const sockaddr* address, socklen_t size) noexcept {
  const sockaddr_in* const asked = Ipv4(address, size);
  const in_addr_t published = AddressIn(kPublishedAddressVariable);
  if (asked == nullptr || published == 0 || asked->sin_addr.s_addr != published) {
    return SystemBind(socket, address, size);
  }
  sockaddr_in own = *asked;
  own.sin_addr.s_addr = AddressIn(kBoundAddressVariable);
  return SystemBind(socket, reinterpret_cast<const sockaddr*>(&own), sizeof(own));
}

extern "C" int connect(int socket, const sockaddr* address, socklen_t size) {
  const sockaddr_in* const target = Ipv4(address, size);
  if (target != nullptr) BindSource(socket, *target);
  return static_cast<int>(::syscall(SYS_connect, socket, address, size));
}
