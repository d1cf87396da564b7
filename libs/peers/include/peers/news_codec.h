// Encodes and decodes gateway updates as datagrams.

#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "gateway/gateway_gossip.h"

namespace ridgehold {

std::string EncodeNews(const GossipMessage& news);

/// Fails with kMalformedPeerMessage.
Result<GossipMessage> DecodeNews(std::string_view bytes);

}  // namespace ridgehold
