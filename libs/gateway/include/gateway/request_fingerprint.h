// What makes two requests the same work, whoever of their caller sends them, and where.

#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "gateway/inbound_request.h"
#include "net/beast.h"

namespace ridgehold {

/// Equal for requests that ask for the same: same workspace, method, host, path
/// with its query, and body, byte by byte. The request's id, its deadline and all
/// other header fields do not matter. Requests of two workspaces always differ.
using RequestFingerprint = Strong<struct RequestFingerprintTag, std::uint64_t>;

/// `workspace` is empty on public routes. XXH3 over the whole body: some 0.1 us
/// a kilobyte.
RequestFingerprint FingerprintOf(const WorkspaceId& workspace, const InboundRequest& inbound,
                                 const RequestMessage& request);

/// 16 hexadecimal digits, as in log lines and in the store.
std::string ToText(RequestFingerprint fingerprint);

}  // namespace ridgehold
