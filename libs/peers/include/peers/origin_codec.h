// Datagrams about the origins of streams.

#pragma once

#include <optional>
#include <string>

#include "base/ids.h"
#include "resumption/origin_messages.h"

namespace ridgehold {

namespace wire {
class GatewayNews;
}

std::string Encode(const DaemonId& sender, const OriginMessage& message);

/// Returns nullopt if the datagram holds no message about origins.
std::optional<OriginMessage> DecodeOrigin(const wire::GatewayNews& message);

}  // namespace ridgehold
