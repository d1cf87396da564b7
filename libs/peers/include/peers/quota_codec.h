// Encodes and decodes quota messages as datagrams between gateways.

#pragma once

#include <optional>
#include <string>

#include "base/ids.h"
#include "quota/quota_messages.h"

namespace ridgehold {

namespace wire {
class GatewayNews;
}

std::string Encode(const DaemonId& sender, const QuotaMessage& message);

/// Returns nullopt if the datagram holds no quota message.
std::optional<QuotaMessage> DecodeQuota(const wire::GatewayNews& message);

}  // namespace ridgehold
