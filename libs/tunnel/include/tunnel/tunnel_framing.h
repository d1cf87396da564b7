// How two instances agree on the framing of the bytes in a tunnel.

#pragma once

#include "net/beast.h"
#include "net/response_stream.h"

namespace ridgehold {

/// Header field of CONNECT and of its response. In the request, the peer accepts the framing that
/// it names; in the response, the server's bytes have that framing.
inline constexpr char kTunnelFramingField[] = "X-Ridgehold-Tunnel-Framing";
/// Value of kTunnelFramingField: records, see RecordHeader.
inline constexpr char kRecordFraming[] = "records";

/// The framing that a head names; kOpaque if it names none, as those of older instances.
StreamFraming TunnelFramingOf(const http::fields& head);

}  // namespace ridgehold
