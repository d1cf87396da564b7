// Messages about quotas as datagrams between gateways.

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

/// Nothing when the datagram is about something else.
std::optional<QuotaMessage> DecodeQuota(const wire::GatewayNews& message);

}  // namespace ridgehold
