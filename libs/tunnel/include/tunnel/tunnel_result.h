// How an attempt to open a tunnel ended.

#pragma once

#include <cstdint>
#include <string_view>

#include "net/beast.h"

namespace ridgehold {

enum class TunnelResult : std::uint8_t {
  kOpen,            ///< the peer has connected to the backend server
  kUnknownBackend,  ///< the peer has no registration of the backend server
  kLeaving,         ///< the backend server must get no new requests
  kRefused,         ///< nothing listens at the backend server's address
  kUnreachable,     ///< the peer cannot reach this backend server
  kIsolated,        ///< the peer reaches no backend server itself
  kFull,            ///< the peer carries as many tunnels as it may
  kStopping,        ///< the peer is shutting down
  kPeerFailed,      ///< the peer did not respond, or does not offer tunnels
};

/// Header field of the response to CONNECT that holds the name of the result.
inline constexpr char kTunnelResultField[] = "X-Ridgehold-Tunnel";

std::string_view NameOf(TunnelResult result);

/// The HTTP status with which a peer reports the result.
http::status StatusOf(TunnelResult result);

/// Parses the value of kTunnelResultField. Returns kPeerFailed for any other text.
TunnelResult ParseTunnelResult(std::string_view name);

}  // namespace ridgehold
