// Fingerprint that identifies repeated requests of a workspace.

#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "gateway/inbound_request.h"
#include "net/beast.h"

namespace ridgehold {

/// Equal for requests of one workspace with the same method, host, path with query, and body, byte
/// by byte. The request id, the deadline and all other header fields are ignored. Requests of
/// different workspaces have different fingerprints. `workspace` is empty on public routes. Runs
/// XXH3 over the whole body, which takes about 0.1 us per kilobyte.
RequestFingerprint FingerprintOf(const WorkspaceId& workspace, const InboundRequest& inbound,
                                 const RequestMessage& request);

/// Formats the fingerprint as 16 hexadecimal digits, as in log lines and in the store.
std::string ToText(RequestFingerprint fingerprint);

}  // namespace ridgehold
