// Gateways' messages as datagrams.

#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "gateway/gateway_gossip.h"

namespace ridgehold {

std::string EncodeNews(const GatewayNews& news);

/// Fails with kMalformedPeerMessage.
Result<GatewayNews> DecodeNews(std::string_view bytes);

}  // namespace ridgehold
